package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"hemlockknot/internal/coordination/trace"
	"hemlockknot/internal/transport/operator"
)

// explainRequest queries every daemon for a request and prints the explanation of
// the request's entry daemon.
func (c *command) explainRequest(ctx context.Context, id string) error {
	if _, err := c.firstDaemon(); err != nil {
		return err
	}
	explanations := make([]*operator.Explanation, len(c.daemons))
	errs := make([]error, len(c.daemons))
	c.forEachDaemon(func(i int, address string) {
		explanations[i], errs[i] = queryDaemon[operator.Explanation](ctx, address, "/explain/"+url.PathEscape(id))
	})
	for _, explanation := range explanations {
		if explanation != nil {
			return c.print(explanation, attemptsTable(explanation), candidatesTable(explanation))
		}
	}
	for _, err := range errs {
		if !errors.Is(err, errNotFound) {
			return err // the daemon that failed may be the one with the record
		}
	}
	return fmt.Errorf("none of %d daemons has a record of request %s", len(c.daemons), id)
}

// explainChat prints the candidate engines of a chat as seen by the first daemon. An
// engine counts as warm if any daemon reports it as warm, because only one daemon
// holds a chat's directory entry.
func (c *command) explainChat(ctx context.Context, model, chat, workspace string) error {
	if model == "" || chat == "" || workspace == "" {
		return usagef("either a request id or all of --model, --chat and --workspace must be given")
	}
	if _, err := c.firstDaemon(); err != nil {
		return err
	}
	query := url.Values{"model": {model}, "chat": {chat}, "workspace": {workspace}}
	explanations := make([]*operator.Explanation, len(c.daemons))
	errs := make([]error, len(c.daemons))
	c.forEachDaemon(func(i int, address string) {
		explanations[i], errs[i] = queryDaemon[operator.Explanation](ctx, address, "/explain?"+query.Encode())
	})
	if errs[0] != nil {
		return errs[0]
	}
	mergeWarmEngines(explanations[0], explanations[1:])
	return c.print(explanations[0], candidatesTable(explanations[0]))
}

// mergeWarmEngines marks the candidates that other daemons report as warm. The
// explanation of a daemon that did not answer is nil.
func mergeWarmEngines(explanation *operator.Explanation, others []*operator.Explanation) {
	warm := make(map[string]bool)
	for _, other := range others {
		if other == nil {
			continue
		}
		for _, candidate := range other.Candidates {
			warm[candidate.Engine] = warm[candidate.Engine] || candidate.Warm
		}
	}
	for i := range explanation.Candidates {
		candidate := &explanation.Candidates[i]
		candidate.Warm = candidate.Warm || warm[candidate.Engine]
	}
}

// attemptsTable returns a table of a request's attempts and its outcome.
func attemptsTable(explanation *operator.Explanation) *table {
	request := explanation.Request
	t := &table{
		title: fmt.Sprintf("request %s of workspace %s to service %s, received by %s, ended %s after %s, generation %d",
			request.ID, request.Workspace, request.Service, explanation.Daemon,
			request.At.Format(time.RFC3339), request.Duration.Round(time.Millisecond), request.Generation),
		header: []string{"try", "engine", "home", "result", "detail"},
	}
	for i, attempt := range request.Attempts {
		t.addRow(i+1, attempt.Engine, attempt.Home, cmp.Or(string(attempt.Reason), "served"), attempt.Detail)
	}
	t.footer = summarizeOutcome(request) + "\n"
	return t
}

// summarizeOutcome describes in one line how a request ended.
func summarizeOutcome(request *trace.Record) string {
	if request.Reason != "" {
		return fmt.Sprintf("refused: %s, outcome %s: %s", request.Reason, request.Outcome, request.Detail)
	}
	if len(request.Attempts) == 0 {
		return "served"
	}
	last := request.Attempts[len(request.Attempts)-1]
	if len(request.Attempts) == 1 {
		return fmt.Sprintf("served at the first attempt by %s", last.Engine)
	}
	var refusals []string
	for _, attempt := range request.Attempts[:len(request.Attempts)-1] {
		refusals = append(refusals, fmt.Sprintf("%s: %s", attempt.Engine, attempt.Reason))
	}
	return fmt.Sprintf("served by %s after failed attempts: %s", last.Engine, strings.Join(refusals, ", "))
}

// candidatesTable returns a table of the chat's current candidate engines, best
// first.
func candidatesTable(explanation *operator.Explanation) *table {
	t := &table{
		title: fmt.Sprintf("current candidates as seen by %s, best first (service %s, generation %d)",
			explanation.Daemon, explanation.Service, explanation.Generation),
		header: []string{"rank", "engine", "place", "home", "state", "in flight", "capacity", "warm"},
	}
	for i, candidate := range explanation.Candidates {
		warm := ""
		if candidate.Warm {
			warm = "yes"
		}
		t.addRow(i+1, candidate.Engine, candidate.Place, candidate.Home, candidate.State, candidate.InFlight, candidate.Capacity, warm)
	}
	return t
}
