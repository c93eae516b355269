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

// ctlResult is what a run of the operators' tool gave.
type ctlResult struct {
	code   ctl.ExitCode
	stdout string
	stderr string
}

// written is the tool's JSON answer to a write.
type written struct {
	Generation uint64 `json:"generation"`
	Unchanged  bool   `json:"unchanged"`
	AnswerLost bool   `json:"answer_lost"`
	Attempt    string `json:"attempt"`
}

// ctlFailure is the tool's JSON form of an error.
type ctlFailure struct {
	Error    string                  `json:"error"`
	Conflict *revision.ConflictError `json:"conflict"`
}

// ctl runs the operators' tool as a process of its own.
func (f *fleet) ctl(operatorName string, args ...string) ctlResult {
	f.t.Helper()
	args = append([]string{"--output=json", "--platform=http://" + f.platform.listening["address"], "--by=" + operatorName}, args...)
	for _, daemon := range f.daemons {
		args = append(args, "--daemon="+daemon.listening["operators"])
	}
	cmd := exec.Command(filepath.Join(binaries, "hemlockknotctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Error(err)
	}
	return ctlResult{code: ctl.ExitCode(cmd.ProcessState.ExitCode()), stdout: stdout.String(), stderr: stderr.String()}
}

func decodeAs[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	must.NoError(t, json.Unmarshal([]byte(text), &value), must.Sprint(text))
	return value
}

// documentFile writes a variant of the small fleet's document to a file.
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

func (f *fleet) production() revision.Version {
	f.t.Helper()
	version, err := revision.Read(context.Background(), f.platformClient(), environmentName)
	must.NoError(f.t, err)
	return version
}

// updates returns how many updates the platform was asked for.
func (f *fleet) updates() int {
	f.t.Helper()
	calls, err := getJSON[map[string]int]("http://" + f.platform.listening["address"] + "/standin/calls")
	must.NoError(f.t, err)
	return calls["update"]
}

// startOperatedFleet starts a platform and two daemons with a document that has
// no engines, written with the tool.
func startOperatedFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.describeSmallFleet()
	first := f.ctl("asha", "env", "apply", f.documentFile("first"), "--if-generation=0")
	must.Eq(t, ctl.ExitOK, first.code, must.Sprint(first.stderr))
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitSettled(1)
	return f
}

func TestOfTwoOperatorsWhoRaceOneWinsAndTheOtherIsTold(t *testing.T) {
	f := startOperatedFleet(t)
	operators := []string{"asha", "bilal"}
	for _, name := range operators {
		must.Eq(t, ctl.ExitOK, f.ctl(name, "env", "apply", "--environment=trial-"+name, f.documentFile(name)).code)
	}
	const rounds = 6
	for round := range uint64(rounds) {
		// Each round starts from a document that neither of them has written.
		seen := 2*round + 1
		// Slow calls, so that both have read before either writes; in each second
		// round the winner's answer is lost as well.
		setFault(t, f.platform, standin.Fault{DelayMS: 50, LoseAnswers: int(round % 2)})
		results := make([]ctlResult, len(operators))
		var group sync.WaitGroup
		for i, name := range operators {
			group.Go(func() {
				results[i] = f.ctl(name, "env", "promote", "--from=trial-"+name, "--to=production",
					fmt.Sprintf("--seen-generation=%d", seen))
			})
		}
		group.Wait()
		winner, loser := 0, 1
		if results[0].code != ctl.ExitOK {
			winner, loser = 1, 0
		}
		must.Eq(t, ctl.ExitOK, results[winner].code, must.Sprint(results[winner].stderr))
		must.Eq(t, ctl.ExitConflict, results[loser].code, must.Sprint(results[loser].stdout))
		present := f.production()
		must.Eq(t, seen+1, present.Generation)
		must.Eq(t, operators[winner], present.Spec.Revision.By)
		must.Eq(t, decodeAs[written](t, results[winner].stdout).Attempt, present.Spec.Revision.Attempt)
		conflict := decodeAs[ctlFailure](t, results[loser].stderr).Conflict
		must.NotNil(t, conflict)
		must.Eq(t, present.Spec.Revision.Attempt, conflict.Winner.Attempt)
		must.Eq(t, "trial-"+operators[winner], conflict.Winner.PromotedFrom)
		must.Eq(t, round%2 == 1, decodeAs[written](t, results[winner].stdout).AnswerLost)
		f.awaitSettled(seen + 1)
		must.Eq(t, ctl.ExitOK, f.ctl("asha", "env", "apply", f.documentFile("first")).code)
	}
	status := f.ctl("asha", "env", "status", "--wait="+settleLimit.String())
	must.Eq(t, ctl.ExitOK, status.code, must.Sprint(status.stderr))
	must.StrContains(t, status.stdout, `"name": "d2"`)
}

func TestALostAnswerEndsInOneWriteReportedOnce(t *testing.T) {
	f := startOperatedFleet(t)
	before := f.updates()
	setFault(t, f.platform, standin.Fault{LoseAnswers: 1})
	result := f.ctl("asha", "env", "apply", f.documentFile("second"), "--if-generation=1")
	must.Eq(t, ctl.ExitOK, result.code, must.Sprint(result.stderr))
	report := decodeAs[written](t, result.stdout)
	must.True(t, report.AnswerLost)
	must.Eq(t, 2, report.Generation)
	must.Eq(t, 2, f.production().Generation)
	must.Eq(t, before+1, f.updates())
	again := f.ctl("asha", "env", "apply", f.documentFile("second"))
	must.True(t, decodeAs[written](t, again.stdout).Unchanged)
	must.Eq(t, before+1, f.updates())
}

func TestNothingIsWrittenWhileThePlatformIsAway(t *testing.T) {
	f := startOperatedFleet(t)
	setFault(t, f.platform, standin.Fault{Outage: true})
	for _, args := range [][]string{
		{"env", "apply", f.documentFile("second")},
		{"env", "promote", "--seen-generation=1"},
		{"env", "status"},
	} {
		result := f.ctl("asha", args...)
		must.Eq(t, ctl.ExitUnreachable, result.code, must.Sprint(args, result))
		must.StrContains(t, result.stderr, "platform get")
	}
	setFault(t, f.platform, standin.Fault{})
	must.Eq(t, 1, f.production().Generation)
	must.Eq(t, ctl.ExitOK, f.ctl("asha", "env", "apply", f.documentFile("second")).code)
}

func TestABadDocumentChangesNothing(t *testing.T) {
	f := startOperatedFleet(t)
	path := filepath.Join(t.TempDir(), "bad.yaml")
	bad := "name: bad\nplaces: []\nservices:\n  - {name: writer, kind: modle}\nengines: 5\n"
	must.NoError(t, os.WriteFile(path, []byte(bad), 0o600))
	refused := f.ctl("asha", "env", "apply", path)
	must.Eq(t, ctl.ExitInvalid, refused.code)
	for _, problem := range []string{path + ":2: places: ", path + ":4: services[0].kind: ", path + ":5: engines: "} {
		must.StrContains(t, refused.stderr, problem)
	}
	must.Eq(t, 1, f.production().Generation)

	// Another tool writes it all the same: the daemons keep what they have.
	f.publishText(bad)
	for _, daemon := range f.daemons {
		waitFor(t, settleLimit, "the bad document is refused", func() bool { return daemon.logged("document refused") })
		status, err := daemonStatus(daemon)
		must.NoError(t, err)
		must.Eq(t, 1, status.Generation)
		waitFor(t, settleLimit, "the refusal is counted", func() bool { return counts(daemon, "hemlockknot_documents_refused_total 1") })
	}
	must.Eq(t, ctl.ExitOK, f.ctl("asha", "env", "apply", f.documentFile("third")).code)
	f.awaitSettled(3)
}

func TestExplainSaysWhyARequestWentWhereItWent(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "squid-sheet", maxTokens: 4, stream: true, key: testKey}
	served := request.send(context.Background(), f.daemons["d1"])
	must.True(t, served.complete)
	id := served.header.Get("X-Request-Id")
	explained := f.ctl("asha", "explain", id)
	must.Eq(t, ctl.ExitOK, explained.code, must.Sprint(explained.stderr))
	explanation := decodeAs[struct {
		Request struct {
			Tries []struct{ Engine, Home string }
		}
		Candidates []struct{ Engine, Home string }
	}](t, explained.stdout)
	must.Len(t, 1, explanation.Request.Tries)
	must.Eq(t, served.engine(), explanation.Request.Tries[0].Engine)
	must.Eq(t, homeOf(t, f.daemons["d1"], served.engine()), explanation.Request.Tries[0].Home)
	must.Len(t, 3, explanation.Candidates)

	now := f.ctl("asha", "explain", "--model=hk-small", "--chat="+request.chat, "--workspace=members")
	must.Eq(t, served.engine(), decodeAs[struct {
		Candidates []struct{ Engine string }
	}](t, now.stdout).Candidates[0].Engine)
	must.StrContains(t, f.ctl("asha", "engines", "--service=ledger").stdout, `"state_name": "live"`)
	must.Eq(t, ctl.ExitError, f.ctl("asha", "explain", "no-such-request").code)
	must.Eq(t, ctl.ExitUsage, f.ctl("asha", "explain").code)
}

func TestExplainSaysWhereARequestSpilled(t *testing.T) {
	f := startSmallFleet(t)
	type try struct {
		Engine string
		Reason refusal.Reason
	}
	// A probe may see the drain before the request does, so that nothing spills:
	// then the next chat's engine is drained in its place.
	for _, chat := range []string{"pomfret", "prawn", "squid", "tuna", "mackerel"} {
		request := chatRequest{model: "hk-small", chat: chat, maxTokens: 4, stream: true, key: testKey}
		first := request.send(context.Background(), f.daemons["d1"])
		must.True(t, first.complete)
		setFault(t, f.engines[first.engine()], engine.Fault{Draining: true})
		second := request.send(context.Background(), f.daemons["d1"])
		must.True(t, second.complete)
		setFault(t, f.engines[first.engine()], engine.Fault{})
		explained := f.ctl("asha", "explain", second.header.Get("X-Request-Id"))
		must.Eq(t, ctl.ExitOK, explained.code, must.Sprint(explained.stderr))
		tries := decodeAs[struct{ Request struct{ Tries []try } }](t, explained.stdout).Request.Tries
		if len(tries) == 2 {
			must.Eq(t, try{first.engine(), refusal.EngineLeaving}, tries[0])
			must.Eq(t, try{Engine: second.engine()}, tries[1])
			return
		}
		must.Eq(t, []try{{Engine: second.engine()}}, tries)
	}
	t.Fatal("no request spilled")
}

// counts reports whether a daemon's metrics have a line.
func counts(daemon *process, line string) bool {
	response, err := http.Get("http://" + daemon.listening["operators"] + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	_ = response.Write(&text)
	return strings.Contains(text.String(), line)
}
