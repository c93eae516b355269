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

// startFakeDaemon starts a server that answers every call with an explanation under
// the given status code, and returns the --daemon flag for its address.
func startFakeDaemon(t *testing.T, status int, candidates ...control.Candidate) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(operator.Explanation{Candidates: candidates})
	}))
	t.Cleanup(server.Close)
	return "--daemon=" + server.Listener.Addr().String()
}

func TestExplainChatMergesWarmEnginesOfAllDaemons(t *testing.T) {
	first := startFakeDaemon(t, http.StatusOK, control.Candidate{Engine: "e1"}, control.Candidate{Engine: "e2"})
	second := startFakeDaemon(t, http.StatusOK, control.Candidate{Engine: "e2", Warm: true}, control.Candidate{Engine: "e1"})
	failing := startFakeDaemon(t, http.StatusServiceUnavailable)
	args := []string{"explain", "--model=m", "--chat=c", "--workspace=w", "--output=json"}
	var stdout, stderr bytes.Buffer
	must.Eq(t, ExitOK, Run(append(args, first, second, failing), &stdout, &stderr), must.Sprint(stderr.String()))
	var printed operator.Explanation
	must.NoError(t, json.Unmarshal(stdout.Bytes(), &printed))
	must.Eq(t, []control.Candidate{{Engine: "e1"}, {Engine: "e2", Warm: true}}, printed.Candidates)
	must.Eq(t, ExitUnreachable, Run(append(args, failing, first), &stdout, &stderr))
}

func TestRunEndsWithTheDocumentedCodes(t *testing.T) {
	tests := []struct {
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
	for _, test := range tests {
		var stdout, stderr bytes.Buffer
		must.Eq(t, test.want, Run(test.args, &stdout, &stderr), must.Sprint(test.args, stderr.String()))
		must.Positive(t, stderr.Len())
	}
}
