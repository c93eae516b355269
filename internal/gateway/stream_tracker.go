package gateway

import (
	"maps"
	"sync"
	"time"

	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/state/fleet"
)

// streamTracker tracks the open streams by failure domain and when each domain last
// sent an event. A domain whose streams are all silent may be cut off.
type streamTracker struct {
	mu       sync.Mutex
	domains  map[string]*domainStreams
	services map[string]time.Time // when each service last sent an event, or responded otherwise
	targets  map[string]time.Time // by id, when each target did
	waiting  map[*waitingRequest]struct{}
}

// waitingRequest is a request that has been sent and has brought no answer.
type waitingRequest struct {
	target  *fleet.Target
	since   time.Time
	silence *silenceTimer // of its attempt; nil if the request must not be sent to another target
}

// domainStreams are the open streams from the targets of one failure domain.
type domainStreams struct {
	streams   map[*trackedStream]struct{}
	lastEvent time.Time // also set when a stream begins and by recordDomainActivity
}

// trackedStream is one stream whose response has begun.
type trackedStream struct {
	domain *domainStreams
	target *fleet.Target
	// silence is the timer of the stream's attempt; nil if no other target may continue the
	// stream.
	silence *silenceTimer
}

func newStreamTracker() *streamTracker {
	return &streamTracker{domains: make(map[string]*domainStreams), services: make(map[string]time.Time), targets: make(map[string]time.Time), waiting: make(map[*waitingRequest]struct{})}
}

// add tracks a stream whose response has begun. Silence is nil if no other target may continue
// the stream.
func (t *streamTracker) add(target *fleet.Target, silence *silenceTimer) *trackedStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	domain := t.domains[target.FailureDomain]
	if domain == nil {
		domain = &domainStreams{streams: make(map[*trackedStream]struct{})}
		t.domains[target.FailureDomain] = domain
	}
	stream := &trackedStream{domain: domain, target: target, silence: silence}
	domain.streams[stream] = struct{}{}
	domain.lastEvent = time.Now()
	t.recordHeard(target, domain.lastEvent)
	return stream
}

// recordEvent records that an event of a stream has arrived.
func (t *streamTracker) recordEvent(stream *trackedStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stream.domain.lastEvent = time.Now()
	t.recordHeard(stream.target, stream.domain.lastEvent)
}

// recordHeard records that something has come from a target. The caller holds mu.
func (t *streamTracker) recordHeard(target *fleet.Target, now time.Time) {
	t.services[target.Service] = now
	t.targets[target.ID] = now
}

// heardAt returns when a target last sent something; the zero time if it is not known.
func (t *streamTracker) heardAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[id]
}

// retainTargets drops what is known of all targets for which keep returns false.
func (t *streamTracker) retainTargets(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.targets, func(id string, _ time.Time) bool { return !keep(id) })
}

// recordDomainActivity records that a failure domain has responded by other means
// than an event of a stream.
func (t *streamTracker) recordDomainActivity(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if domain := t.domains[name]; domain != nil {
		domain.lastEvent = time.Now()
	}
}

// recordServiceActivity records that a service has responded by other means than an event of
// a stream.
func (t *streamTracker) recordServiceActivity(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[name] = time.Now()
}

// answeredSince reports whether any target has answered since a time.
func (t *streamTracker) answeredSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, answeredAt := range t.services {
		if answeredAt.After(since) {
			return true
		}
	}
	return false
}

// remove stops tracking a stream that has ended.
func (t *streamTracker) remove(stream *trackedStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(stream.domain.streams, stream)
}

// snapshot returns the state of all domains' streams, the input of
// cutoff.SilentDomains.
func (t *streamTracker) snapshot() []cutoff.DomainStreams {
	t.mu.Lock()
	defer t.mu.Unlock()
	var snapshot []cutoff.DomainStreams
	for name, domain := range t.domains {
		targets := make(map[*fleet.Target]struct{})
		for stream := range domain.streams {
			targets[stream.target] = struct{}{}
		}
		snapshot = append(snapshot, cutoff.DomainStreams{Domain: name, Targets: len(targets), LastEvent: domain.lastEvent})
	}
	return snapshot
}

// addWaiting tracks a request that is sent. Silence is nil if it must not be sent to another
// target.
func (t *streamTracker) addWaiting(target *fleet.Target, silence *silenceTimer) *waitingRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := &waitingRequest{target: target, since: time.Now(), silence: silence}
	t.waiting[request] = struct{}{}
	return request
}

// removeWaiting stops tracking a request. Answered says that its target has begun to answer.
func (t *streamTracker) removeWaiting(request *waitingRequest, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, request)
	if answered {
		t.recordHeard(request.target, time.Now())
	}
}

// waitingAt returns the number of requests that have been sent to a target and have brought no
// answer.
func (t *streamTracker) waitingAt(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for request := range t.waiting {
		if request.target.ID == id {
			count++
		}
	}
	return count
}

// serviceSnapshot returns what has been received from the services, the input of
// cutoff.SilentServices.
func (t *streamTracker) serviceSnapshot(now time.Time) []cutoff.ServiceActivity {
	t.mu.Lock()
	defer t.mu.Unlock()
	streaming, waiting := make(targetsByService), make(targetsByService)
	for _, domain := range t.domains {
		for stream := range domain.streams {
			streaming.add(stream.target)
		}
	}
	for request := range t.waiting {
		if now.Sub(request.since) >= cutoff.WaitThreshold {
			waiting.add(request.target)
		}
	}
	var snapshot []cutoff.ServiceActivity
	for service, lastAnswer := range t.services {
		snapshot = append(snapshot, cutoff.ServiceActivity{Service: service, Targets: len(streaming[service]), Waiting: len(waiting[service]), LastAnswer: lastAnswer})
	}
	return snapshot
}

// targetsByService are sets of targets.
type targetsByService map[string]map[*fleet.Target]struct{}

func (s targetsByService) add(target *fleet.Target) {
	if s[target.Service] == nil {
		s[target.Service] = make(map[*fleet.Target]struct{})
	}
	s[target.Service][target] = struct{}{}
}

// serviceWaits returns the timers of the streams and waits of a service that may go on at another
// target.
func (t *streamTracker) serviceWaits(name string) []*silenceTimer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waits []*silenceTimer
	for _, domain := range t.domains {
		for stream := range domain.streams {
			if stream.silence != nil && stream.target.Service == name {
				waits = append(waits, stream.silence)
			}
		}
	}
	for request := range t.waiting {
		if request.silence != nil && request.target.Service == name {
			waits = append(waits, request.silence)
		}
	}
	return waits
}

// domainWaits returns the timers of the streams of a failure domain that another target may
// continue.
func (t *streamTracker) domainWaits(name string) []*silenceTimer {
	t.mu.Lock()
	defer t.mu.Unlock()
	domain := t.domains[name]
	if domain == nil {
		return nil
	}
	var waits []*silenceTimer
	for stream := range domain.streams {
		if stream.silence != nil {
			waits = append(waits, stream.silence)
		}
	}
	return waits
}

// expireEarly begins another attempt beside each that is silent, as far as there is a target and a
// retry, and returns their number. The tracker's mutex must not be held: this asks the coordinator.
func expireEarly(waits []*silenceTimer) int {
	hedged := 0
	for _, silence := range waits {
		if silence.expireEarly(cutoff.SilenceThreshold) {
			hedged++
		}
	}
	return hedged
}
