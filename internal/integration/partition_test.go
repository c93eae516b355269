package integration

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/member"
)

// TestPartitionedDomainsKeepServing delays and then blocks the traffic between two
// failure domains. Both must keep serving, and converge when the partition heals.
func TestPartitionedDomainsKeepServing(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	proxyA, proxyB := newFaultProxy(t), newFaultProxy(t)
	proxyA.setUpstream(f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", advertiseOutside: proxyA.address()}).addresses["peers"])
	proxyB.setUpstream(f.addDaemon("d2", daemonOptions{failureDomain: "domain-b", advertiseOutside: proxyB.address(), bootstrap: []string{proxyA.address()}}).addresses["peers"])
	f.awaitConverged(generation)

	proxyA.addLatency(50)
	f.checkAllDaemonsServe("slow")
	proxyA.clearFaults()
	proxyA.blackhole()
	proxyB.blackhole()
	f.checkAllDaemonsServe("cut-off")
	proxyA.clearFaults()
	proxyB.clearFaults()
	f.awaitConverged(generation)
}

// checkAllDaemonsServe checks that each daemon gives a complete response to a chat.
func (f *fleet) checkAllDaemonsServe(chat string) {
	f.t.Helper()
	for _, daemon := range f.daemons {
		request := chatRequest{model: "hk-small", chat: chat + "-" + daemon.name, maxTokens: 8, stream: true, key: testKey}
		result := request.send(context.Background(), daemon)
		must.NoError(f.t, result.err)
		must.True(f.t, result.complete)
	}
}

// memberCount returns how many members a daemon lists, or -1 if its status cannot
// be read.
func memberCount(daemon *process) int {
	status, err := daemonStatus(daemon)
	if err != nil {
		return -1
	}
	return len(status.Members)
}

// TestResumedDaemonKeepsItsPeersAndRevivesNoDeadOnes kills a daemon while another
// one is frozen. When the frozen daemon resumes with its stale member list, it must
// not drop its live peers, and its peer d4 must not list the killed daemon again.
func TestResumedDaemonKeepsItsPeersAndRevivesNoDeadOnes(t *testing.T) {
	f := startSmallFleet(t)
	for _, name := range []string{"d3", "d4"} {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(1)
	frozen, observer := f.daemons["d1"], f.daemons["d4"]
	frozen.freeze()
	waitFor(t, convergenceTimeout, "the frozen daemon is considered down", func() bool { return memberCount(observer) == 3 })
	f.daemons["d3"].kill()
	waitFor(t, convergenceTimeout, "the killed daemon is considered down", func() bool { return memberCount(observer) == 2 })
	frozen.thaw()
	thawedAt := time.Now()
	for time.Since(thawedAt) < 2*member.HeartbeatTimeout {
		must.GreaterEq(t, 3, memberCount(frozen), must.Sprintf("the resumed daemon considers live peers down %s after it resumed", time.Since(thawedAt)))
		status, err := daemonStatus(observer)
		must.NoError(t, err)
		for _, listed := range status.Members {
			must.NotEq(t, "d3", listed.Name, must.Sprint("the killed daemon is listed as a member again"))
		}
	}
	delete(f.daemons, "d3")
	f.awaitConverged(1)
	f.checkAllDaemonsServe("thawed")
}
