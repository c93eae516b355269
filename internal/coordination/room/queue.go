package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// holdDivisor limits how long a request waits, as a part of its route's latency objective.
	holdDivisor = 8
	// deadlineDivisor limits how long a request waits, as a part of the time until its deadline.
	deadlineDivisor = 4
	// maxWaiting bounds the requests that wait for a service whatever its rate.
	maxWaiting = 1024
	// rateWindow is the time over which the ends of requests are averaged.
	rateWindow = time.Second
	// While all targets seem to be full, this daemon still sends probeFactor x what the service ends
	// for it: what a daemon among many knows of a target is old compared with the time in which a
	// place opens there, and with less the targets would run empty.
	probeFactor = 1.1
	// Workspaces over their part are restrained while targets reject more than rejectedPart of the
	// requests of this daemon, and at least minRejected in rateWindow.
	rejectedPart = 0.05
	minRejected  = 2.0
	// usualWindow is the time over which the usual number of a workspace's requests is averaged. A
	// surge of some ten seconds changes it little.
	usualWindow = 5 * time.Minute
	// A workspace is over its part if it has sent more than overFactor x its part + overSlack of the
	// requests of the last recentWindow. The factor and the slack cover chance.
	recentWindow = 2 * time.Second
	overFactor   = 1.25
	overSlack    = 2.0
	// minWeight is the least weight of a workspace, as a part of the mean.
	minWeight = 0.25
	// agePerRank is how long after its arrival a request counts as more urgent by one.
	agePerRank = 500 * time.Millisecond
	// oldestEvery is how many releases there are for one of the request that has waited longest, so
	// that the more urgent ones starve no other.
	oldestEvery = 8
	// maxMisses is how many waiting requests are tried in vain before a release ends.
	maxMisses = 4
	// returnPart is the part of the time that a refused caller was told to wait after which its next
	// request keeps the place of the refused one, and returnWindow for how long after that time.
	returnPart   = 0.8
	returnWindow = 2 * time.Second
	// maxReturns bounds the refused requests of a workspace that are remembered.
	maxReturns = 256
	// minRetryAfter is the least delay of a refused caller. In less, hardly any room opens.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter limits the delay of a refused caller that has not said how long it waits.
	maxRetryAfter = 5 * time.Second
	// remainingDivisor limits a delay to a part of the caller's remaining time, the longest that
	// callers honour.
	remainingDivisor = 3
)

// Request is a request that may wait for room.
type Request struct {
	Workspace        string // empty for anonymous requests
	Route            string
	Urgency          int // 0 is the most urgent
	LatencyObjective time.Duration
	Deadline         time.Time
}

// Waiting is a request that waits, or has been refused.
type Waiting struct {
	Request
	// Until is when the request must be decided. It is refused if there is no room then.
	Until   time.Time
	arrived time.Time // of the caller's first request, if it has come back as told
	tag     float64   // virtual time at which the workspace's part allows the request
	over    int       // 1 if the workspace is over its part, 0 if not
}

// workspace is the state of a workspace in a service.
type workspace struct {
	usual    count         // requests sent
	recent   count         // requests sent while busy
	finish   float64       // virtual time up to which the workspace has used its part
	returnAt time.Time     // when the last refused caller was told to come back
	returns  []refusedOnce // in the order of their refusal
}

// refusedOnce is a refused request whose caller keeps its place if it comes back in time.
type refusedOnce struct {
	route       string
	arrived     time.Time
	tag         float64
	from, until time.Time
}

// count is a number of events, averaged over a time.
type count struct {
	value float64
	at    time.Time
}

// in returns the number at a time.
func (c count) in(window time.Duration, now time.Time) float64 {
	return c.value * math.Exp(-float64(now.Sub(c.at))/float64(window))
}

// add counts an event.
func (c *count) add(window time.Duration, now time.Time) { c.value, c.at = c.in(window, now)+1, now }

// queue is what waits for a service. Requests are ordered by urgency, which grows with their age,
// then by start-time fair queueing among workspaces, then by their deadline. A workspace's weight is
// its usual number of requests, so that one that sends several times as many waits behind itself. One
// that is over its part comes after all others: its urgent requests would take the part of the less
// urgent ones of others.
type queue struct {
	waiting    []*Waiting
	workspaces map[string]*workspace
	usualTotal float64
	virtual    float64 // tag of the last request that was sent
	released   int
	ends       count // requests that have been served
	recent     count // requests sent while busy
	sent       count // requests sent
	rejected   count // requests that targets have rejected for want of room
}

func newQueue() queue { return queue{workspaces: make(map[string]*workspace)} }

// rate returns how many requests of this daemon the service ends in a second.
func (q *queue) rate(now time.Time) float64 {
	return q.ends.in(rateWindow, now) / rateWindow.Seconds()
}

// workspace returns the state of a workspace.
func (q *queue) workspace(name string) *workspace {
	w := q.workspaces[name]
	if w == nil {
		w = &workspace{}
		q.workspaces[name] = w
	}
	return w
}

// recordSent records that a request of a workspace is sent. While busy, it uses up the workspace's
// part.
func (q *queue) recordSent(name string, busy bool, now time.Time) {
	w := q.workspace(name)
	q.sent.add(rateWindow, now)
	before := w.usual.value
	w.usual.add(usualWindow, now)
	q.usualTotal += w.usual.value - before
	if busy {
		w.recent.add(recentWindow, now)
		q.recent.add(recentWindow, now)
		start := max(q.virtual, w.finish)
		q.virtual = start
		w.finish = start + 1/q.weight(w)
	}
}

// weight returns a workspace's weight, 1 for one that sends as much as the mean.
func (q *queue) weight(w *workspace) float64 {
	if q.usualTotal <= 0 {
		return 1
	}
	return max(minWeight, w.usual.value*float64(len(q.workspaces))/q.usualTotal)
}

// part returns a workspace's part of the service, of 1.
func (q *queue) part(w *workspace) float64 { return min(1, q.weight(w)/float64(len(q.workspaces))) }

// over reports whether a workspace is over its part of what is sent.
func (q *queue) over(w *workspace, now time.Time) bool {
	return w.recent.in(recentWindow, now) > overFactor*q.part(w)*q.recent.in(recentWindow, now)+overSlack
}

// OverPart reports whether the workspace had sent more than its part when the request was last ordered.
func (w *Waiting) OverPart() bool { return w.over > 0 }

// rank returns the urgency of a request with its age. Age puts no request before the most urgent ones.
func (w *Waiting) rank(now time.Time) int {
	return max(min(w.Urgency, 0), w.Urgency-int(now.Sub(w.arrived)/agePerRank))
}

// sort orders the waiting requests by who is sent first.
func (q *queue) sort(now time.Time) {
	for _, entry := range q.waiting {
		entry.over = 0
		if q.over(q.workspaces[entry.Workspace], now) {
			entry.over = 1
		}
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiting) int {
		return cmp.Or(cmp.Compare(a.over, b.over), cmp.Compare(a.rank(now), b.rank(now)), cmp.Compare(a.tag, b.tag), a.Deadline.Compare(b.Deadline))
	})
}

// newWaiting returns a request that arrives now, with the place of an earlier one of its caller if
// that has come back.
func (q *queue) newWaiting(r Request, now time.Time) *Waiting {
	w := q.workspace(r.Workspace)
	ahead := 0
	for _, other := range q.waiting {
		if other.Workspace == r.Workspace {
			ahead++
		}
	}
	entry := &Waiting{Request: r, arrived: now, tag: max(q.virtual, w.finish) + float64(ahead)/q.weight(w)}
	entry.Until = now.Add(min(r.LatencyObjective/holdDivisor, r.Deadline.Sub(now)/deadlineDivisor))
	w.returns = slices.DeleteFunc(w.returns, func(earlier refusedOnce) bool { return now.After(earlier.until) })
	for i, earlier := range w.returns {
		// A request that can hardly be answered any more must not take the place of one that can.
		if earlier.route == r.Route && !now.Before(earlier.from) && r.Deadline.Sub(now) >= r.LatencyObjective {
			entry.arrived, entry.tag = earlier.arrived, min(entry.tag, earlier.tag)
			w.returns = slices.Delete(w.returns, i, i+1)
			break
		}
	}
	return entry
}

// inTime reports whether the turn of the waiting request at an index comes in time. The first of each
// urgency waits in any case, so that none starves.
func (q *queue) inTime(index int, now time.Time) bool {
	entry := q.waiting[index]
	left := entry.Until.Sub(now)
	if left <= 0 {
		return false
	}
	return float64(index+1) <= q.rate(now)*left.Seconds() ||
		!slices.ContainsFunc(q.waiting[:index], func(other *Waiting) bool { return other.Urgency == entry.Urgency })
}

// Queued returns how many requests wait for a service.
func (t *Tracker) Queued(serviceName string) int {
	if s := t.services[serviceName]; s != nil {
		return len(s.queue.waiting)
	}
	return 0
}

// QueuedServices returns the services for which requests wait.
func (t *Tracker) QueuedServices() []string {
	var names []string
	for name, s := range t.services {
		if len(s.queue.waiting) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Enter adds a request to those that wait for a service, for which there must have been a report.
func (t *Tracker) Enter(serviceName string, r Request, now time.Time) *Waiting {
	q := &t.services[serviceName].queue
	entered := q.newWaiting(r, now)
	q.waiting = append(q.waiting, entered)
	return entered
}

// Late removes the requests whose turn can no longer come in time from those that wait for a service,
// and returns them. They must be refused.
func (t *Tracker) Late(serviceName string, now time.Time) (late []*Waiting) {
	s := t.services[serviceName]
	if s == nil {
		return nil
	}
	q := &s.queue
	q.sort(now)
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if len(q.waiting) > maxWaiting || !q.inTime(i, now) {
			late = append(late, q.waiting[i])
			q.waiting = slices.Delete(q.waiting, i, i+1)
		}
	}
	return late
}

// Leave removes a request from those that wait, and reports whether it was among them.
func (t *Tracker) Leave(serviceName string, entry *Waiting) bool {
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	index := slices.Index(s.queue.waiting, entry)
	if index < 0 {
		return false
	}
	s.queue.waiting = slices.Delete(s.queue.waiting, index, index+1)
	return true
}

// Release sends the requests that wait for a service, in their order, while there is room. Place sends
// one if a target has room for it, and reports whether it did. First is set for the first in the order:
// if it waited for more room than others need, they would always take what there is.
func (t *Tracker) Release(serviceName string, now time.Time, place func(entry *Waiting, first bool) bool) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	q := &s.queue
	q.sort(now)
	for misses := 0; misses < min(maxMisses, len(q.waiting)); {
		index := misses
		if misses == 0 && q.released%oldestEvery == oldestEvery-1 {
			index = q.oldest()
		}
		entry := q.waiting[index]
		if !place(entry, misses == 0) {
			misses++
			continue
		}
		q.released++
		q.waiting = slices.Delete(q.waiting, index, index+1)
	}
}

// Probe reports whether the first of the waiting requests is to be sent although all targets seem to be
// full, so that they do not run empty.
func (t *Tracker) Probe(serviceName string, now time.Time) bool {
	s := t.services[serviceName]
	return s != nil && s.queue.sent.in(rateWindow, now)+1 <= probeFactor*s.queue.ends.in(rateWindow, now)
}

// Restrained reports whether the requests of a workspace are restrained: it is over its part, and the
// targets reject requests.
func (t *Tracker) Restrained(serviceName, workspace string, now time.Time) bool {
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	q := &s.queue
	rejected := q.rejected.in(rateWindow, now)
	return rejected >= max(minRejected, rejectedPart*q.sent.in(rateWindow, now)) && q.over(q.workspace(workspace), now)
}

// oldest returns the index of the request that has waited longest.
func (q *queue) oldest() int {
	oldest := 0
	for i, entry := range q.waiting {
		if entry.arrived.Before(q.waiting[oldest].arrived) {
			oldest = i
		}
	}
	return oldest
}

// Refuse returns when the caller of a request that is refused may come back: each caller of a workspace
// gets its own time, at the rate at which the service ends requests within the workspace's part. The
// caller's next request keeps its place. Spread is a random number in [0, 1).
func (t *Tracker) Refuse(serviceName string, entry *Waiting, spread float64, now time.Time) time.Duration {
	q := &t.services[serviceName].queue
	w := q.workspace(entry.Workspace)
	rate := max(q.rate(now), 1/maxRetryAfter.Seconds())
	step := time.Duration(float64(time.Second) / max(rate*q.part(w), 1/maxRetryAfter.Seconds()))
	untilRoom := time.Duration(float64(len(q.waiting)+1) / rate * float64(time.Second)) // those that wait come first
	if first := now.Add(max(minRetryAfter, untilRoom)); w.returnAt.Before(first) {
		w.returnAt = first
	}
	limit := min(maxRetryAfter, max(0, entry.Deadline.Sub(now))/remainingDivisor)
	delay := w.returnAt.Sub(now) + time.Duration(spread*float64(step))
	if delay > limit { // callers that cannot be told their time come back spread over half of the limit
		delay = time.Duration((1 - spread/2) * float64(limit))
	} else {
		w.returnAt = w.returnAt.Add(step)
	}
	if len(w.returns) == maxReturns {
		w.returns = slices.Delete(w.returns, 0, 1)
	}
	from := now.Add(time.Duration(returnPart * float64(delay)))
	w.returns = append(w.returns, refusedOnce{entry.Route, entry.arrived, entry.tag, from, now.Add(delay + returnWindow)})
	return delay
}
