package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/ctl"
)

// A trial daemon whose settings name production's daemons as peers by mistake.
func TestTrialAndProductionStayApart(t *testing.T) {
	f := startSmallFleet(t)
	production := f.daemons["d1"].listening["peers"]
	must.Eq(t, ctl.ExitOK, f.ctl("asha", "env", "apply", "--environment=trial", f.documentFile("first-trial")).code)
	must.Eq(t, ctl.ExitOK, f.ctl("asha", "env", "apply", "--environment=trial", f.documentFile("second-trial")).code)
	trial := f.addDaemon("t1", daemonOptions{failureDomain: "domain-a", environment: "trial", bootstrap: []string{production}})
	delete(f.daemons, "t1")
	waitFor(t, settleLimit, "the trial daemon serves its environment", func() bool {
		status, err := daemonStatus(trial)
		return err == nil && status.Generation == 2
	})
	waitFor(t, settleLimit, "production's daemon has refused the trial daemon", func() bool {
		return trial.logged("serves another environment") && counts(f.daemons["d1"], "hemlockknot_peers_refused_total")
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
		for _, record := range engineRecords(t, f.engines[name]) {
			must.Eq(t, "1", record.Generation)
		}
	}
}
