package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/fleet"
)

// crashesPerExchange is how many crashes of engines are sent in an exchange.
const crashesPerExchange = 2

// crashChecks finds out whether an engine whose connection broke has crashed.
type crashChecks struct {
	mu      sync.Mutex
	running map[uint32][]brokenRequest // by incarnation
}

// brokenRequest is a request whose attempt ended without a complete answer.
type brokenRequest struct {
	request  quarantine.Request
	progress quarantine.Progress
	silent   bool // the connection did not break; the daemon gave up waiting
}

func newCrashChecks() *crashChecks {
	return &crashChecks{running: make(map[uint32][]brokenRequest)}
}

// add adds a request to the check of an engine and reports whether it is the first one.
func (c *crashChecks) add(engine uint32, request brokenRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[engine] = append(c.running[engine], request)
	return len(c.running[engine]) == 1
}

// end ends the check of an engine and returns its requests.
func (c *crashChecks) end(engine uint32) []brokenRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.running[engine]
	delete(c.running, engine)
	return requests
}

// checkForCrash records a crash if the target of an attempt that ended without a complete
// answer accepts no connections any more. A single broken connection proves no crash.
func (g *Gateway) checkForCrash(a *targetAttempt, progress quarantine.Progress, silent bool) {
	if a.via != "" {
		return // the daemon that made the attempt checks
	}
	target := a.choice.Target
	if !silent {
		a.brokenAt.Store(target.IncarnationHash())
	}
	if !g.crashChecks.add(target.IncarnationHash(), brokenRequest{a.features(), progress, silent}) {
		return
	}
	go func() {
		g.metrics.countDial()
		conn, err := g.pool.Dial(context.Background(), target.Address)
		requests := g.crashChecks.end(target.IncarnationHash())
		if err == nil {
			_ = conn.Close()
			return
		}
		if !g.reachesOthers(target) {
			g.recordUnanswered(target, false)
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) { // the path to the target may be cut off
			requests = slices.DeleteFunc(requests, func(r brokenRequest) bool { return r.silent })
		}
		if len(requests) == 0 {
			return
		}
		g.log.Warn("target crashed", "target", target.ID, "requests", len(requests), "digests", loggedDigests(requests), "error", err)
		newlyHeld, urgent := g.coordinator.recordCrash(target, requests)
		g.logHolds(newlyHeld, nil, "own")
		if urgent || len(newlyHeld) > 0 {
			g.quarantineRecord.noteOwn()
		}
		if urgent {
			g.peers.startRoundSoon()
		}
	}()
}

// maxLoggedDigests limits the digests of requests in a log line.
const maxLoggedDigests = 16

// loggedDigests returns the digests of requests for a log line.
func loggedDigests(requests []brokenRequest) []string {
	var digests []string
	for _, broken := range requests[:min(len(requests), maxLoggedDigests)] {
		digests = append(digests, digestName(broken.request.Digest))
	}
	return digests
}

// recordCrash records that a target has crashed while it ran requests. It returns what is
// held back from now on, and whether other daemons should receive it at once.
func (c *coordinator) recordCrash(target *fleet.Target, requests []brokenRequest) (newlyHeld []quarantine.Hold, urgent bool) {
	c.do(func() {
		now := time.Now()
		for _, broken := range requests {
			held, isUrgent := c.quarantine.RecordCrash(broken.request, target.IncarnationHash(), broken.progress, now)
			newlyHeld, urgent = append(newlyHeld, held...), urgent || isUrgent
		}
	})
	return newlyHeld, urgent
}

// recordAnswer records that a target has begun its answer to a request: it has read the
// prompt, and no part of the prompt crashes engines.
func (g *Gateway) recordAnswer(a *targetAttempt) {
	if a.via != "" {
		return // the daemon that made the attempt records it
	}
	g.recordFirstEvent(a)
	g.recordReleased(g.coordinator.recordAnswer(a.choice.Target, a.features()))
}

// recordReleased records that an answer at this daemon has cleared what was held back.
func (g *Gateway) recordReleased(released []quarantine.Hold) {
	g.logHolds(nil, released, "own")
	if len(released) > 0 {
		g.quarantineRecord.noteOwn()
	}
}

// logHolds logs and counts what is held back from now on, and what no longer is.
func (g *Gateway) logHolds(newlyHeld, released []quarantine.Hold, source string) {
	for _, hold := range newlyHeld {
		trialAfter := hold.For.Milliseconds()
		if hold.IsRequest {
			g.metrics.countHeldRequest()
			g.log.Warn("request is held back", "digest", digestName(hold.Feature), "crashes", hold.Crashes, "source", source, "trial_after_ms", trialAfter)
			continue
		}
		g.metrics.countHeldPart()
		g.log.Warn("part of prompts is held back", "part", partName(hold.Feature), "crashes", hold.Crashes, "source", source, "trial_after_ms", trialAfter)
	}
	for _, hold := range released {
		if hold.IsRequest {
			g.log.Warn("request is no longer held back", "digest", digestName(hold.Feature), "source", source)
			continue
		}
		g.log.Warn("part of prompts is no longer held back", "part", partName(hold.Feature), "source", source)
	}
}

// partName returns the name of a part in logs.
func partName(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// features returns what the request may have in common with others under which targets
// crash.
func (req *callerRequest) features() quarantine.Request {
	return quarantine.Request{Digest: req.digest, Prompt: req.call.Parts}
}

// crashReports returns the crashes to send another daemon, at most count.
func (c *coordinator) crashReports(count int) []quarantine.Report {
	var reports []quarantine.Report
	c.do(func() { reports = c.quarantine.Reports(count, time.Now()) })
	return reports
}

// mergeCrashes records the crashes that another daemon has sent.
func (c *coordinator) mergeCrashes(reports []quarantine.Report) (newlyHeld []quarantine.Hold, released []quarantine.Hold, urgent bool) {
	if len(reports) > 0 {
		c.do(func() { newlyHeld, released, urgent = c.quarantine.Merge(reports, time.Now()) })
	}
	return newlyHeld, released, urgent
}

// mergeCrashes merges the crashes in a peer's state.
func (p *peers) mergeCrashes(remote *peerpb.MeshState) {
	newlyHeld, released, urgent := p.gateway.coordinator.mergeCrashes(decodeCrashes(remote))
	p.gateway.logHolds(newlyHeld, released, "peer")
	p.gateway.quarantineRecord.note(newlyHeld, released)
	if urgent {
		p.startRoundSoon()
	}
}

// stateBits is the number of bits of a State in its encoding.
const stateBits = 2

// encodeCrashes encodes reports of crashes.
func encodeCrashes(reports []quarantine.Report) []*peerpb.EngineCrash {
	var encoded []*peerpb.EngineCrash
	for _, report := range reports {
		crash := &peerpb.EngineCrash{Engine: report.Engine, AgeMs: uint32(report.Age.Milliseconds())}
		for _, implicated := range report.Evidence {
			crash.Parts = append(crash.Parts, implicated.Feature)
			crash.DepthsAndStates = append(crash.DepthsAndStates, implicated.Depth<<stateBits|uint32(implicated.State))
		}
		encoded = append(encoded, crash)
	}
	return encoded
}

// decodeCrashes returns the reports of crashes in a peer's state.
func decodeCrashes(remote *peerpb.MeshState) []quarantine.Report {
	var reports []quarantine.Report
	for _, crash := range remote.GetEngineCrashes() {
		report := quarantine.Report{Engine: crash.GetEngine(), Age: time.Duration(crash.GetAgeMs()) * time.Millisecond}
		for i := range min(len(crash.GetParts()), len(crash.GetDepthsAndStates())) {
			encoded := crash.GetDepthsAndStates()[i]
			report.Evidence = append(report.Evidence, quarantine.Evidence{
				Feature: crash.GetParts()[i], Depth: encoded >> stateBits, State: quarantine.State(encoded & (1<<stateBits - 1)),
			})
		}
		reports = append(reports, report)
	}
	return reports
}

// isTimeout reports whether an error is a timeout, also one that this daemon has set to end
// a wait.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
