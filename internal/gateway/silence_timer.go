package gateway

import (
	"sync"
	"time"
)

const (
	// rearmDelay is the time until the timer fires again if no other attempt could be begun, if
	// that has failed or if the timer has fired too late.
	rearmDelay = 200 * time.Millisecond
	// maxTimerDelay is how late the timer may fire. If it fires later, this daemon
	// itself was paused, and data that arrived meanwhile is still to be read.
	maxTimerDelay = 100 * time.Millisecond
)

// silenceTimer notices that the target of an attempt is silent, and has another attempt begun beside
// it. It ends nothing: a sound target may be silent for a second and go on.
type silenceTimer struct {
	// beginHedge begins another attempt of the request, and reports whether it has.
	beginHedge func() bool

	mu          sync.Mutex
	timer       *time.Timer
	deadline    time.Time // when the timer is due to fire
	silentSince time.Time // when restart was last called; zero while the timer does not run
	stopped     bool
	hedged      bool // another attempt has begun since restart was last called
}

// newSilenceTimer returns a timer that does not run until restart is called.
func newSilenceTimer(beginHedge func() bool) *silenceTimer {
	s := &silenceTimer{beginHedge: beginHedge}
	s.timer = time.AfterFunc(time.Hour, s.handleExpiry)
	s.timer.Stop()
	return s
}

// ifAllowed returns the timer, or nil if no other attempt may be made.
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
		s.silentSince, s.hedged = time.Now(), false
		s.arm(silence)
	}
}

// pause stops the timer until restart is called. Once pause has returned, no other attempt is begun
// until then.
func (s *silenceTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentSince = time.Time{}
	s.timer.Stop()
}

// hedgeFailed lets the timer begin another attempt, as the one that it has begun has brought no
// answer.
func (s *silenceTimer) hedgeFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hedged && !s.stopped && !s.silentSince.IsZero() {
		s.hedged = false
		s.arm(rearmDelay)
	}
}

// expireEarly acts as if the timer had fired, if the target has been silent for some time
// already. It reports whether it has begun another attempt.
func (s *silenceTimer) expireEarly(silence time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle() || time.Since(s.silentSince) < silence {
		return false
	}
	s.hedged = s.beginHedge()
	return s.hedged
}

// idle reports whether no attempt is to be begun. The caller holds mu.
func (s *silenceTimer) idle() bool { return s.stopped || s.hedged || s.silentSince.IsZero() }

// arm sets the timer. The caller holds mu.
func (s *silenceTimer) arm(silence time.Duration) {
	s.deadline = time.Now().Add(silence)
	s.timer.Reset(silence)
}

// stop disables the timer for good: once stop has returned, no other attempt is begun.
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
	if s.idle() || late < 0 { // restarted or paused since the timer fired
		return
	}
	if late <= maxTimerDelay && s.beginHedge() {
		s.hedged = true
		return
	}
	s.arm(rearmDelay)
}
