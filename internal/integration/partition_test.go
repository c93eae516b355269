package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
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
