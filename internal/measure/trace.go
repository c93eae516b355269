package measure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Parameters of the generated chats. Sizes are in bytes; the stand-in engines count
// four bytes as a token.
const (
	openingBytes       = 1600 // of the text at the start of a chat
	messageBytes       = 200
	meanTurns          = 6
	minTurnGap         = 8 * time.Second
	meanExtraGap       = 5 * time.Second
	longGapProbability = 0.15
	meanLongGap        = 20 * time.Second
	meanTurnGap        = minTurnGap + meanExtraGap + 3*time.Second // 3 s is 15% of meanLongGap
	// A skewed trace adds requests in a few chats that many callers share.
	sharedChatCount    = 5
	sharedRateFraction = 0.2 // of the trace's request rate
)

// chatTrace is a chat and the times, from the start of the trace, at which its turns
// are sent. A turn is sent later if the previous turn is not answered by its time.
type chatTrace struct {
	name      string
	turnTimes []time.Duration
}

// drainWindow is a period in which an engine accepts no requests. Times are from the
// start of the trace.
type drainWindow struct {
	engineIndex int
	from        time.Duration
	until       time.Duration
	clearCache  bool // the engine returns with an empty cache
}

// requestTrace is the workload that is replayed under each policy.
type requestTrace struct {
	chats    []chatTrace
	drains   []drainWindow
	duration time.Duration
}

// newTrace generates a trace from the seed. options.Rate is the rate of the turns of
// all chats together; shared chats come on top.
func newTrace(options Options, profile traceProfile, engineCount int) requestTrace {
	random := rand.New(rand.NewPCG(options.Seed, uint64(engineCount)))
	trace := requestTrace{duration: options.Duration}
	meanChatInterval := float64(time.Second) * meanTurns / options.Rate
	// The trace begins with the chats that are open at any time in steady state. The
	// number of turns per chat is geometric, so the remaining turns of an open chat
	// have the same distribution as those of a new chat.
	openChats := int(float64(meanTurns*meanTurnGap) / meanChatInterval)
	for range openChats {
		at := time.Duration(random.Float64() * float64(min(meanTurnGap, options.Duration)))
		trace.chats = append(trace.chats, newChat(random, len(trace.chats), at, options.Duration))
	}
	for at := time.Duration(0); at < options.Duration; at += time.Duration(random.ExpFloat64() * meanChatInterval) {
		trace.chats = append(trace.chats, newChat(random, len(trace.chats), at, options.Duration))
	}
	if profile.skewed {
		trace.addSharedChats(random, options)
	}
	if profile.churn {
		trace.drains = newDrainWindows(random, options.Duration, engineCount)
	}
	return trace
}

// newChat generates a chat whose first turn is sent at the given time and whose number
// of turns is geometric with mean meanTurns. Turns from traceEnd on are left out.
func newChat(random *rand.Rand, number int, turnTime, traceEnd time.Duration) chatTrace {
	chat := chatTrace{name: fmt.Sprintf("chat-%d", number)}
	for turnTime < traceEnd {
		chat.turnTimes = append(chat.turnTimes, turnTime)
		if random.Float64() < 1.0/meanTurns {
			break
		}
		turnTime += minTurnGap + time.Duration(random.ExpFloat64()*float64(meanExtraGap))
		if random.Float64() < longGapProbability {
			turnTime += time.Duration(random.ExpFloat64() * float64(meanLongGap))
		}
	}
	return chat
}

// addSharedChats adds requests of independent callers that all belong to a few chats.
func (t *requestTrace) addSharedChats(random *rand.Rand, options Options) {
	meanInterval := float64(time.Second) / (options.Rate * sharedRateFraction)
	for at := time.Duration(0); at < options.Duration; at += time.Duration(random.ExpFloat64() * meanInterval) {
		name := fmt.Sprintf("shared-%d", random.IntN(sharedChatCount))
		t.chats = append(t.chats, chatTrace{name: name, turnTimes: []time.Duration{at}})
	}
}

// newDrainWindows drains one random engine at a time. Every second drain, starting
// with the first, empties the engine's cache.
func newDrainWindows(random *rand.Rand, duration time.Duration, engineCount int) []drainWindow {
	const (
		interval      = 10 * time.Second // between the starts of two drains
		drainDuration = 7 * time.Second
	)
	var drains []drainWindow
	for at := interval / 2; at < duration; at += interval {
		drains = append(drains, drainWindow{
			engineIndex: random.IntN(engineCount),
			from:        at,
			until:       at + drainDuration,
			clearCache:  len(drains)%2 == 0,
		})
	}
	return drains
}

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the conversation that is sent at a turn. Turns count from 0.
func (c chatTrace) messages(turn int) []message {
	conversation := []message{
		{Role: "user", Content: c.name},
		{Role: "user", Content: padText(c.name+" document", openingBytes)},
	}
	for n := range turn {
		conversation = append(conversation,
			message{Role: "assistant", Content: padText(fmt.Sprintf("%s answer %d", c.name, n), messageBytes)},
			message{Role: "user", Content: padText(fmt.Sprintf("%s question %d", c.name, n), messageBytes)})
	}
	return conversation
}

// padText appends dots to a text up to a size in bytes.
func padText(text string, size int) string {
	return text + strings.Repeat(".", max(0, size-len(text)))
}
