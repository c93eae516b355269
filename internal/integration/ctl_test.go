package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	"hemlockknot/internal/ctl"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/standin/engine"
	standin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/state/revision"
)

// ctlResult is the exit code and the output of one run of hemlockknotctl.
type ctlResult struct {
	code   ctl.ExitCode
	stdout string
	stderr string
}

// writeOutput is the JSON output of a hemlockknotctl command that writes.
type writeOutput struct {
	Generation uint64 `json:"generation"`
	Unchanged  bool   `json:"unchanged"`
	AnswerLost bool   `json:"answer_lost"`
	Attempt    string `json:"attempt"`
}

// errorOutput is the JSON output of a hemlockknotctl command that fails.
type errorOutput struct {
	Error    string                  `json:"error"`
	Conflict *revision.ConflictError `json:"conflict"`
}

// runCtl runs hemlockknotctl with the addresses of the platform and all daemons.
func (f *fleet) runCtl(operatorName string, args ...string) ctlResult {
	f.t.Helper()
	args = append([]string{"--output=json", "--platform=http://" + f.platform.addresses["address"], "--by=" + operatorName}, args...)
	for _, daemon := range f.daemons {
		args = append(args, "--daemon="+daemon.addresses["operators"])
	}
	cmd := exec.Command(filepath.Join(binaryDir, "hemlockknotctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Error(err)
	}
	return ctlResult{code: ctl.ExitCode(cmd.ProcessState.ExitCode()), stdout: stdout.String(), stderr: stderr.String()}
}

// decodeAs decodes a JSON text.
func decodeAs[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	must.NoError(t, json.Unmarshal([]byte(text), &value), must.Sprint(text))
	return value
}

// documentFile writes the fleet's document, renamed to variant, to a file and
// returns its path.
func (f *fleet) documentFile(variant string) string {
	f.t.Helper()
	changed := f.document
	changed.Name = variant
	text, err := yaml.Marshal(changed)
	must.NoError(f.t, err)
	path := filepath.Join(f.t.TempDir(), variant+".yaml")
	must.NoError(f.t, os.WriteFile(path, text, 0o600))
	return path
}

// productionVersion reads the current version of the fleet's environment from the
// platform.
func (f *fleet) productionVersion() revision.Version {
	f.t.Helper()
	version, err := revision.Read(context.Background(), f.platformClient(), environmentName)
	must.NoError(f.t, err)
	return version
}

// platformUpdates returns how many update calls the platform has received.
func (f *fleet) platformUpdates() int {
	f.t.Helper()
	calls, err := getJSON[map[string]int]("http://" + f.platform.addresses["address"] + "/standin/calls")
	must.NoError(f.t, err)
	return calls["update"]
}

// startFleetWithoutEngines starts a platform and two daemons. It writes their
// document, which has no engines, with hemlockknotctl.
func startFleetWithoutEngines(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.setSmallFleetDocument()
	first := f.runCtl("asha", "env", "apply", f.documentFile("first"), "--if-generation=0")
	must.Eq(t, ctl.ExitOK, first.code, must.Sprint(first.stderr))
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitConverged(1)
	return f
}

// TestConcurrentPromotionsYieldOneWinnerAndOneConflict lets two operators promote
// their documents to production at the same time, after both have seen the same
// generation. One write must succeed, and the other operator must get a conflict
// that names the winning write.
func TestConcurrentPromotionsYieldOneWinnerAndOneConflict(t *testing.T) {
	f := startFleetWithoutEngines(t)
	operators := []string{"asha", "bilal"}
	for _, name := range operators {
		must.Eq(t, ctl.ExitOK, f.runCtl(name, "env", "apply", "--environment=trial-"+name, f.documentFile(name)).code)
	}
	const rounds = 6
	for round := range uint64(rounds) {
		// Each round starts from the document that the end of the previous round
		// applied, so neither operator's own document is current.
		generation := 2*round + 1
		// The delay lets both operators read before either writes. In every second
		// round the response to the winning write is lost too.
		setFault(t, f.platform, standin.Fault{DelayMS: 50, DropResponses: int(round % 2)})
		results := make([]ctlResult, len(operators))
		var wg sync.WaitGroup
		for i, name := range operators {
			wg.Go(func() {
				results[i] = f.runCtl(name, "env", "promote", "--from=trial-"+name, "--to=production",
					fmt.Sprintf("--seen-generation=%d", generation))
			})
		}
		wg.Wait()
		winner, loser := 0, 1
		if results[0].code != ctl.ExitOK {
			winner, loser = 1, 0
		}
		must.Eq(t, ctl.ExitOK, results[winner].code, must.Sprint(results[winner].stderr))
		must.Eq(t, ctl.ExitConflict, results[loser].code, must.Sprint(results[loser].stdout))
		current := f.productionVersion()
		must.Eq(t, generation+1, current.Generation)
		must.Eq(t, operators[winner], current.Spec.Revision.By)
		must.Eq(t, decodeAs[writeOutput](t, results[winner].stdout).Attempt, current.Spec.Revision.Attempt)
		conflict := decodeAs[errorOutput](t, results[loser].stderr).Conflict
		must.NotNil(t, conflict)
		must.Eq(t, current.Spec.Revision.Attempt, conflict.Winner.Attempt)
		must.Eq(t, "trial-"+operators[winner], conflict.Winner.PromotedFrom)
		must.Eq(t, round%2 == 1, decodeAs[writeOutput](t, results[winner].stdout).AnswerLost)
		f.awaitConverged(generation + 1)
		must.Eq(t, ctl.ExitOK, f.runCtl("asha", "env", "apply", f.documentFile("first")).code)
	}
	status := f.runCtl("asha", "env", "status", "--wait="+convergenceTimeout.String())
	must.Eq(t, ctl.ExitOK, status.code, must.Sprint(status.stderr))
	must.StrContains(t, status.stdout, `"name": "d2"`)
}

// TestLostPlatformResponseCausesNoSecondWrite drops the platform's response to a
// write. hemlockknotctl must detect that its write took effect and not repeat it.
func TestLostPlatformResponseCausesNoSecondWrite(t *testing.T) {
	f := startFleetWithoutEngines(t)
	updatesBefore := f.platformUpdates()
	setFault(t, f.platform, standin.Fault{DropResponses: 1})
	result := f.runCtl("asha", "env", "apply", f.documentFile("second"), "--if-generation=1")
	must.Eq(t, ctl.ExitOK, result.code, must.Sprint(result.stderr))
	report := decodeAs[writeOutput](t, result.stdout)
	must.True(t, report.AnswerLost)
	must.Eq(t, 2, report.Generation)
	must.Eq(t, 2, f.productionVersion().Generation)
	must.Eq(t, updatesBefore+1, f.platformUpdates())
	repeated := f.runCtl("asha", "env", "apply", f.documentFile("second"))
	must.True(t, decodeAs[writeOutput](t, repeated.stdout).Unchanged)
	must.Eq(t, updatesBefore+1, f.platformUpdates())
}

func TestNothingIsWrittenWhilePlatformIsUnreachable(t *testing.T) {
	f := startFleetWithoutEngines(t)
	setFault(t, f.platform, standin.Fault{Outage: true})
	for _, args := range [][]string{
		{"env", "apply", f.documentFile("second")},
		{"env", "promote", "--seen-generation=1"},
		{"env", "status"},
	} {
		result := f.runCtl("asha", args...)
		must.Eq(t, ctl.ExitUnreachable, result.code, must.Sprint(args, result))
		must.StrContains(t, result.stderr, "platform get")
	}
	setFault(t, f.platform, standin.Fault{})
	must.Eq(t, 1, f.productionVersion().Generation)
	must.Eq(t, ctl.ExitOK, f.runCtl("asha", "env", "apply", f.documentFile("second")).code)
}

// TestInvalidDocumentIsRejectedByCtlAndDaemons applies an invalid document with
// hemlockknotctl, which must report every problem with its line, and then writes
// it to the platform directly.
func TestInvalidDocumentIsRejectedByCtlAndDaemons(t *testing.T) {
	f := startFleetWithoutEngines(t)
	path := filepath.Join(t.TempDir(), "bad.yaml")
	invalid := "name: bad\nplaces: []\nservices:\n  - {name: writer, kind: modle}\nengines: 5\n"
	must.NoError(t, os.WriteFile(path, []byte(invalid), 0o600))
	rejected := f.runCtl("asha", "env", "apply", path)
	must.Eq(t, ctl.ExitInvalid, rejected.code)
	for _, problem := range []string{path + ":2: places: ", path + ":4: services[0].kind: ", path + ":5: engines: "} {
		must.StrContains(t, rejected.stderr, problem)
	}
	must.Eq(t, 1, f.productionVersion().Generation)

	// This write bypasses the check of hemlockknotctl. The daemons must refuse the
	// document and keep their configuration.
	f.publishDocument(invalid)
	for _, daemon := range f.daemons {
		waitFor(t, convergenceTimeout, "the daemon refuses the invalid document", func() bool { return daemon.logged("document refused") })
		status, err := daemonStatus(daemon)
		must.NoError(t, err)
		must.Eq(t, 1, status.Generation)
		waitFor(t, convergenceTimeout, "the refusal is counted", func() bool { return metricsContain(daemon, "hemlockknot_documents_refused_total 1") })
	}
	must.Eq(t, ctl.ExitOK, f.runCtl("asha", "env", "apply", f.documentFile("third")).code)
	f.awaitConverged(3)
}

// TestExplainReportsRoutingDecision checks that explain names the engine and the home
// daemon that served a request, and ranks the same engine first for its chat.
func TestExplainReportsRoutingDecision(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "squid-sheet", maxTokens: 4, stream: true, key: testKey}
	result := request.send(context.Background(), f.daemons["d1"])
	must.True(t, result.complete)
	id := result.header.Get("X-Request-Id")
	explained := f.runCtl("asha", "explain", id)
	must.Eq(t, ctl.ExitOK, explained.code, must.Sprint(explained.stderr))
	explanation := decodeAs[struct {
		Request struct {
			Tries []struct{ Engine, Home string }
		}
		Candidates []struct{ Engine, Home string }
	}](t, explained.stdout)
	must.Len(t, 1, explanation.Request.Tries)
	must.Eq(t, result.engine(), explanation.Request.Tries[0].Engine)
	must.Eq(t, homeDaemonName(t, f.daemons["d1"], result.engine()), explanation.Request.Tries[0].Home)
	must.Len(t, 3, explanation.Candidates)

	routing := f.runCtl("asha", "explain", "--model=hk-small", "--chat="+request.chat, "--workspace=members")
	must.Eq(t, result.engine(), decodeAs[struct {
		Candidates []struct{ Engine string }
	}](t, routing.stdout).Candidates[0].Engine)
	must.StrContains(t, f.runCtl("asha", "engines", "--service=ledger").stdout, `"state_name": "live"`)
	must.Eq(t, ctl.ExitError, f.runCtl("asha", "explain", "no-such-request").code)
	must.Eq(t, ctl.ExitUsage, f.runCtl("asha", "explain").code)
}

// TestExplainReportsSpilledRequest checks that explain lists both attempts of a
// request that a draining engine refused and another engine served.
func TestExplainReportsSpilledRequest(t *testing.T) {
	f := startSmallFleet(t)
	type attempt struct {
		Engine string
		Reason refusal.Reason
	}
	// A health probe may detect the drain before the request arrives. The request
	// then goes straight to another engine, and the test tries the next chat.
	for _, chat := range []string{"pomfret", "prawn", "squid", "tuna", "mackerel"} {
		request := chatRequest{model: "hk-small", chat: chat, maxTokens: 4, stream: true, key: testKey}
		first := request.send(context.Background(), f.daemons["d1"])
		must.True(t, first.complete)
		setFault(t, f.targets[first.engine()], engine.Fault{Draining: true})
		second := request.send(context.Background(), f.daemons["d1"])
		must.True(t, second.complete)
		setFault(t, f.targets[first.engine()], engine.Fault{})
		explained := f.runCtl("asha", "explain", second.header.Get("X-Request-Id"))
		must.Eq(t, ctl.ExitOK, explained.code, must.Sprint(explained.stderr))
		attempts := decodeAs[struct{ Request struct{ Tries []attempt } }](t, explained.stdout).Request.Tries
		if len(attempts) == 2 {
			must.Eq(t, attempt{first.engine(), refusal.EngineLeaving}, attempts[0])
			must.Eq(t, attempt{Engine: second.engine()}, attempts[1])
			return
		}
		must.Eq(t, []attempt{{Engine: second.engine()}}, attempts)
	}
	t.Fatal("no request was refused by a draining engine and retried on another")
}

// metricsContain reports whether a daemon's metrics contain the text of a sample or
// its beginning.
func metricsContain(daemon *process, sample string) bool {
	response, err := http.Get("http://" + daemon.addresses["operators"] + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_ = response.Write(&text)
	return strings.Contains(text.String(), sample)
}
