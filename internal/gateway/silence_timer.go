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

// silenceTimer cancels the wait for a silent target, but only once the request's next
// attempt has been reserved. Without one it goes on waiting: a sound target may be silent
// for a second, and a late response is better than none. Nothing else cancels such a wait.
type silenceTimer struct {
	reserveRetry func() bool // reserves the next attempt of the request
	cancel       func()      // cancels the wait

	mu          sync.Mutex
	timer       *time.Timer
	deadline    time.Time // when the timer is due to fire
	silentSince time.Time // when restart was last called; zero while the timer does not run
	stopped     bool
	cancelled   bool
}

// newSilenceTimer returns a timer that does not run until restart is called.
func newSilenceTimer(reserveRetry func() bool, cancel func()) *silenceTimer {
	s := &silenceTimer{reserveRetry: reserveRetry, cancel: cancel}
	s.timer = time.AfterFunc(time.Hour, s.handleExpiry)
	s.timer.Stop()
	return s
}

// ifAllowed returns the timer, or nil if the wait must not be cancelled.
func (s *silenceTimer) ifAllowed(allowed bool) *silenceTimer {
	if !allowed {
		return nil
	}
	return s
}

// restart lets the target be silent for the given time from now on. It has no effect
// after stop.
func (s *silenceTimer) restart(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.silentSince = time.Now()
		s.arm(silence)
	}
}

// pause stops the timer until restart is called. Once pause has returned, cancel is not called
// until then.
func (s *silenceTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentSince = time.Time{}
	s.timer.Stop()
}

// expireEarly cancels the wait as if the timer had fired, if the target has been silent for
// some time already. It reports whether it has cancelled the wait.
func (s *silenceTimer) expireEarly(silence time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.cancelled || s.silentSince.IsZero() || time.Since(s.silentSince) < silence || !s.reserveRetry() {
		return false
	}
	s.end()
	return true
}

// end cancels the wait. The caller holds mu.
func (s *silenceTimer) end() {
	s.cancelled = true
	s.cancel()
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
	case s.stopped || s.cancelled || s.silentSince.IsZero() || late < 0: // restarted or paused since the timer fired
	case late > maxTimerDelay:
		s.arm(rearmDelay)
	case s.reserveRetry():
		s.end()
	default:
		s.arm(rearmDelay)
	}
}
