package measure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// The shape of the chats. Sizes are bytes; four make a token of the stand-ins.
const (
	openingBytes  = 1600 // of the document that opens a chat
	messageBytes  = 200
	meanTurns     = 6
	shortestPause = 8 * time.Second
	meanPause     = 5 * time.Second
	longPauseOdds = 0.15
	meanLongPause = 20 * time.Second
	meanGap       = shortestPause + meanPause + 3*time.Second // 15% of the long pause
	// A skewed trace has a few chats that many callers share.
	sharedChats = 5
	sharedOdds  = 0.2
)

// tracedChat is one chat: the times at which its turns are sent, if the turn
// before is answered by then.
type tracedChat struct {
	name  string
	turns []time.Duration
}

// absence is a time in which an engine is away.
type absence struct {
	engine  int
	from    time.Duration
	until   time.Duration
	cleared bool // the engine comes back with an empty cache
}

// trace is what all policies are measured on.
type trace struct {
	chats    []tracedChat
	absences []absence
	duration time.Duration
}

// newTrace makes a trace from a seed. The rate is that of all turns.
func newTrace(options Options, shape shape, engines int) trace {
	random := rand.New(rand.NewPCG(options.Seed, uint64(engines)))
	made := trace{duration: options.Duration}
	perChat := float64(time.Second) * meanTurns / options.Rate
	// The chats that a system in steady use has open at any time. Their number
	// of turns is geometric, so what is left of them is distributed alike.
	open := int(float64(meanTurns*meanGap) / perChat)
	for range open {
		at := time.Duration(random.Float64() * float64(min(meanGap, options.Duration)))
		made.chats = append(made.chats, newChat(random, len(made.chats), at, options.Duration))
	}
	for at := time.Duration(0); at < options.Duration; at += time.Duration(random.ExpFloat64() * perChat) {
		made.chats = append(made.chats, newChat(random, len(made.chats), at, options.Duration))
	}
	if shape.skewed {
		made.share(random, options)
	}
	if shape.churn {
		made.absences = newAbsences(random, options.Duration, engines)
	}
	return made
}

func newChat(random *rand.Rand, number int, at, end time.Duration) tracedChat {
	chat := tracedChat{name: fmt.Sprintf("chat-%d", number)}
	for at < end {
		chat.turns = append(chat.turns, at)
		if random.Float64() < 1.0/meanTurns {
			break
		}
		at += shortestPause + time.Duration(random.ExpFloat64()*float64(meanPause))
		if random.Float64() < longPauseOdds {
			at += time.Duration(random.ExpFloat64() * float64(meanLongPause))
		}
	}
	return chat
}

// share adds single requests that callers make in a few chats at once.
func (t *trace) share(random *rand.Rand, options Options) {
	between := float64(time.Second) / (options.Rate * sharedOdds)
	for at := time.Duration(0); at < options.Duration; at += time.Duration(random.ExpFloat64() * between) {
		name := fmt.Sprintf("shared-%d", random.IntN(sharedChats))
		t.chats = append(t.chats, tracedChat{name: name, turns: []time.Duration{at}})
	}
}

// newAbsences takes one engine away at a time; every other one loses its cache.
func newAbsences(random *rand.Rand, duration time.Duration, engines int) []absence {
	const (
		interval = 10 * time.Second
		length   = 7 * time.Second
	)
	var absences []absence
	for at := interval / 2; at < duration; at += interval {
		absences = append(absences, absence{
			engine:  random.IntN(engines),
			from:    at,
			until:   at + length,
			cleared: len(absences)%2 == 0,
		})
	}
	return absences
}

// message is one message of a request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the conversation up to a turn, from 0.
func (c tracedChat) messages(turn int) []message {
	conversation := []message{
		{Role: "user", Content: c.name},
		{Role: "user", Content: filler(c.name+" document", openingBytes)},
	}
	for n := range turn {
		conversation = append(conversation,
			message{Role: "assistant", Content: filler(fmt.Sprintf("%s answer %d", c.name, n), messageBytes)},
			message{Role: "user", Content: filler(fmt.Sprintf("%s question %d", c.name, n), messageBytes)})
	}
	return conversation
}

func filler(text string, size int) string {
	return text + strings.Repeat(".", max(0, size-len(text)))
}
