package integration

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/member"
)

func TestDomainCutOffServesWhatItCan(t *testing.T) {
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	toA, toB := newFaultProxy(t), newFaultProxy(t)
	toA.forward(f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", outside: toA.address()}).listening["peers"])
	toB.forward(f.addDaemon("d2", daemonOptions{failureDomain: "domain-b", outside: toB.address(), bootstrap: []string{toA.address()}}).listening["peers"])
	f.awaitSettled(generation)

	toA.delay(50)
	f.serveEverywhere("slow")
	toA.restore()
	toA.cut()
	toB.cut()
	f.serveEverywhere("cut-off")
	toA.restore()
	toB.restore()
	f.awaitSettled(generation)
}

// serveEverywhere checks that each daemon serves a chat whole.
func (f *fleet) serveEverywhere(chat string) {
	f.t.Helper()
	for _, daemon := range f.daemons {
		request := chatRequest{model: "hk-small", chat: chat + "-" + daemon.name, maxTokens: 8, stream: true, key: testKey}
		received := request.send(context.Background(), daemon)
		must.NoError(f.t, received.err)
		must.True(f.t, received.complete)
	}
}

// knows returns how many daemons a daemon believes to run, or -1.
func knows(daemon *process) int {
	status, err := daemonStatus(daemon)
	if err != nil {
		return -1
	}
	return len(status.Members)
}

func TestThawedDaemonKeepsItsPeersAndRevivesNone(t *testing.T) {
	f := startSmallFleet(t)
	for _, name := range []string{"d3", "d4"} {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitSettled(1)
	frozen, witness := f.daemons["d1"], f.daemons["d4"]
	frozen.freeze()
	waitFor(t, settleLimit, "the frozen daemon is down", func() bool { return knows(witness) == 3 })
	f.daemons["d3"].kill()
	waitFor(t, settleLimit, "the killed daemon is down", func() bool { return knows(witness) == 2 })
	frozen.thaw()
	thawed := time.Now()
	for time.Since(thawed) < 2*member.DownAfter {
		must.GreaterEq(t, 3, knows(frozen), must.Sprintf("the thawed daemon takes its peers for down after %s", time.Since(thawed)))
		status, err := daemonStatus(witness)
		must.NoError(t, err)
		for _, other := range status.Members {
			must.NotEq(t, "d3", other.Name, must.Sprint("a dead daemon is revived"))
		}
	}
	delete(f.daemons, "d3")
	f.awaitSettled(1)
	f.serveEverywhere("thawed")
}
