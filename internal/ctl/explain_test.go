package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/transport/operator"
)

// fakeDaemon answers every call with an explanation, or fails.
func fakeDaemon(t *testing.T, status int, candidates ...control.Candidate) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(operator.Explanation{Candidates: candidates})
	}))
	t.Cleanup(server.Close)
	return "--daemon=" + server.Listener.Addr().String()
}

func TestExplainChatMarksWhatAnyDaemonKnowsToBeWarm(t *testing.T) {
	first := fakeDaemon(t, http.StatusOK, control.Candidate{Engine: "e1"}, control.Candidate{Engine: "e2"})
	second := fakeDaemon(t, http.StatusOK, control.Candidate{Engine: "e2", Warm: true}, control.Candidate{Engine: "e1"})
	failing := fakeDaemon(t, http.StatusServiceUnavailable)
	chat := []string{"explain", "--model=m", "--chat=c", "--workspace=w", "--output=json"}
	var stdout, stderr bytes.Buffer
	must.Eq(t, ExitOK, Run(append(chat, first, second, failing), &stdout, &stderr), must.Sprint(stderr.String()))
	var shown operator.Explanation
	must.NoError(t, json.Unmarshal(stdout.Bytes(), &shown))
	must.Eq(t, []control.Candidate{{Engine: "e1"}, {Engine: "e2", Warm: true}}, shown.Candidates)
	must.Eq(t, ExitUnreachable, Run(append(chat, failing, first), &stdout, &stderr))
}

func TestRunEndsWithTheDocumentedCodes(t *testing.T) {
	cases := []struct {
		args []string
		want ExitCode
	}{
		{[]string{"no-such-command"}, ExitUsage},
		{[]string{"env", "promote"}, ExitUsage},
		{[]string{"env", "status"}, ExitUsage},
		{[]string{"engines"}, ExitUsage},
		{[]string{"--timeout=0s", "engines"}, ExitUsage},
		{[]string{"env", "validate", "no-such-file"}, ExitError},
		{[]string{"--daemon=127.0.0.1:1", "engines"}, ExitUnreachable},
	}
	for _, c := range cases {
		var stdout, stderr bytes.Buffer
		must.Eq(t, c.want, Run(c.args, &stdout, &stderr), must.Sprint(c.args, stderr.String()))
		must.Positive(t, stderr.Len())
	}
}
