package gateway

import (
	"sync"
	"time"
)

const (
	// askAgain is the pause after which a retry that was denied is asked for again.
	askAgain = 200 * time.Millisecond
	// lateFire is how late a timer may fire: later than that this daemon itself stood
	// still, and what has come meanwhile is still to be read.
	lateFire = 100 * time.Millisecond
)

// impatience ends the wait for a silent target, once another try has been
// granted: without one, an answer that may still come is better than none.
type impatience struct {
	grant  func() bool // takes a retry for the request
	giveUp func()      // ends the wait

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time // when the silence is over
	ended bool
}

// newImpatience returns one that is not armed yet.
func newImpatience(grant func() bool, giveUp func()) *impatience {
	i := &impatience{grant: grant, giveUp: giveUp}
	i.timer = time.AfterFunc(time.Hour, i.fire)
	i.timer.Stop()
	return i
}

// wait starts waiting anew, for as long as a target may be silent.
func (i *impatience) wait(silence time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.ended {
		i.arm(silence)
	}
}

func (i *impatience) arm(silence time.Duration) {
	i.due = time.Now().Add(silence)
	i.timer.Reset(silence)
}

// stop ends the waiting; nothing is given up afterwards.
func (i *impatience) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	i.timer.Stop()
}

func (i *impatience) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	late := time.Since(i.due)
	switch {
	case i.ended || late < 0: // or the silence has ended meanwhile
	case late > lateFire:
		i.arm(askAgain)
	case i.grant():
		i.giveUp()
	default:
		i.arm(askAgain)
	}
}
