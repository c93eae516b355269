package gateway

import (
	"sync"
	"time"
)

const (
	// rearmDelay is the time until the timer fires again if the budget has denied a
	// retry or the timer has fired too late.
	rearmDelay = 200 * time.Millisecond
	// maxTimerDelay is how late the timer may fire. If it fires later, this daemon
	// itself was paused, and data that arrived meanwhile is still to be read.
	maxTimerDelay = 100 * time.Millisecond
)

// silenceTimer cancels the wait for a silent target, but only once the retry budget
// has granted another attempt. Without one it goes on waiting, since a late response
// is better than none.
type silenceTimer struct {
	reserveRetry func() bool // takes a retry from the budget for the request
	cancel       func()      // cancels the wait

	mu       sync.Mutex
	timer    *time.Timer
	deadline time.Time // when the timer is due to fire
	stopped  bool
}

// newSilenceTimer returns a timer that does not run until restart is called.
func newSilenceTimer(reserveRetry func() bool, cancel func()) *silenceTimer {
	s := &silenceTimer{reserveRetry: reserveRetry, cancel: cancel}
	s.timer = time.AfterFunc(time.Hour, s.handleExpiry)
	s.timer.Stop()
	return s
}

// restart lets the target be silent for the given time from now on. It has no effect
// after stop.
func (s *silenceTimer) restart(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.arm(silence)
	}
}

// arm sets the timer. The caller holds mu.
func (s *silenceTimer) arm(silence time.Duration) {
	s.deadline = time.Now().Add(silence)
	s.timer.Reset(silence)
}

// stop disables the timer for good: once stop has returned, cancel is not called.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// handleExpiry runs when the timer fires.
func (s *silenceTimer) handleExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := time.Since(s.deadline)
	switch {
	case s.stopped || late < 0: // late < 0: restarted since the timer fired
	case late > maxTimerDelay:
		s.arm(rearmDelay)
	case s.reserveRetry():
		s.cancel()
	default:
		s.arm(rearmDelay)
	}
}
