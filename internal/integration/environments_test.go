package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/ctl"
)

// TestDaemonsOfDifferentEnvironmentsStaySeparate starts a daemon of the trial
// environment that is misconfigured with a production daemon as bootstrap peer.
// The production daemon refuses it, so neither environment lists the other's
// members or applies its document.
func TestDaemonsOfDifferentEnvironmentsStaySeparate(t *testing.T) {
	f := startSmallFleet(t)
	productionPeerAddress := f.daemons["d1"].addresses["peers"]
	must.Eq(t, ctl.ExitOK, f.runCtl("asha", "env", "apply", "--environment=trial", f.documentFile("first-trial")).code)
	must.Eq(t, ctl.ExitOK, f.runCtl("asha", "env", "apply", "--environment=trial", f.documentFile("second-trial")).code)
	trial := f.addDaemon("t1", daemonOptions{failureDomain: "domain-a", environment: "trial", bootstrap: []string{productionPeerAddress}})
	delete(f.daemons, "t1")
	waitFor(t, convergenceTimeout, "the trial daemon applies generation 2 of its own environment", func() bool {
		status, err := daemonStatus(trial)
		return err == nil && status.Generation == 2
	})
	waitFor(t, convergenceTimeout, "production daemon d1 refuses the trial daemon as a peer", func() bool {
		return trial.logged("serves another environment") && metricsContain(f.daemons["d1"], "hemlockknot_peers_refused_total")
	})
	for _, daemon := range f.daemons {
		status, err := daemonStatus(daemon)
		must.NoError(t, err)
		must.Eq(t, 1, status.Generation)
		must.Len(t, len(f.daemons), status.Members)
	}
	status, err := daemonStatus(trial)
	must.NoError(t, err)
	must.Len(t, 1, status.Members)
	request := chatRequest{model: "hk-small", chat: "apart", maxTokens: 2, stream: true, key: testKey}
	for _, daemon := range f.daemons {
		must.True(t, request.send(context.Background(), daemon).complete)
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		for _, record := range engineRecords(t, f.targets[name]) {
			must.Eq(t, "1", record.Generation)
		}
	}
}
