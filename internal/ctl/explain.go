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

// explainRequest asks every daemon for a request and prints the answer of the
// one that took it in.
func (c *command) explainRequest(ctx context.Context, id string) error {
	if _, err := c.firstDaemon(); err != nil {
		return err
	}
	answers := make([]*operator.Explanation, len(c.daemons))
	failures := make([]error, len(c.daemons))
	c.askAll(func(i int, address string) {
		answers[i], failures[i] = ask[operator.Explanation](ctx, address, "/explain/"+url.PathEscape(id))
	})
	for _, answer := range answers {
		if answer != nil {
			return c.print(answer, triesTable(answer), candidatesTable(answer))
		}
	}
	for _, failure := range failures {
		if !errors.Is(failure, errNotKnown) {
			return failure // the daemon that does not answer may be the one that knows
		}
	}
	return fmt.Errorf("none of %d daemons remembers the request %s", len(c.daemons), id)
}

// explainChat shows the first daemon's view, with the engines that any daemon
// knows to be warm: a chat's directory entry is at one daemon.
func (c *command) explainChat(ctx context.Context, model, chat, workspace string) error {
	if model == "" || chat == "" || workspace == "" {
		return usagef("either a request's id, or --model, --chat and --workspace are needed")
	}
	if _, err := c.firstDaemon(); err != nil {
		return err
	}
	query := url.Values{"model": {model}, "chat": {chat}, "workspace": {workspace}}
	answers := make([]*operator.Explanation, len(c.daemons))
	failures := make([]error, len(c.daemons))
	c.askAll(func(i int, address string) {
		answers[i], failures[i] = ask[operator.Explanation](ctx, address, "/explain?"+query.Encode())
	})
	if failures[0] != nil {
		return failures[0]
	}
	markWarm(answers[0], answers[1:])
	return c.print(answers[0], candidatesTable(answers[0]))
}

// markWarm takes over what other daemons know of warm engines; a daemon that has
// not answered is nil.
func markWarm(shown *operator.Explanation, others []*operator.Explanation) {
	warm := make(map[string]bool)
	for _, other := range others {
		if other == nil {
			continue
		}
		for _, candidate := range other.Candidates {
			warm[candidate.Engine] = warm[candidate.Engine] || candidate.Warm
		}
	}
	for i := range shown.Candidates {
		candidate := &shown.Candidates[i]
		candidate.Warm = candidate.Warm || warm[candidate.Engine]
	}
}

// triesTable shows what became of a request, try by try.
func triesTable(answer *operator.Explanation) *table {
	request := answer.Request
	shown := &table{
		title: fmt.Sprintf("request %s of workspace %s to service %s, taken in by %s, ended %s after %s, generation %d",
			request.ID, request.Workspace, request.Service, answer.Daemon,
			request.At.Format(time.RFC3339), request.Duration.Round(time.Millisecond), request.Generation),
		header: []string{"try", "engine", "home", "result", "detail"},
	}
	for i, try := range request.Tries {
		shown.add(i+1, try.Engine, try.Home, cmp.Or(string(try.Reason), "served"), try.Detail)
	}
	shown.footer = verdict(request) + "\n"
	return shown
}

func verdict(request *trace.Request) string {
	if request.Reason != "" {
		return fmt.Sprintf("refused: %s, outcome %s: %s", request.Reason, request.Outcome, request.Detail)
	}
	if len(request.Tries) == 0 {
		return "served"
	}
	last := request.Tries[len(request.Tries)-1]
	if len(request.Tries) == 1 {
		return fmt.Sprintf("served by its first choice, %s", last.Engine)
	}
	var refusals []string
	for _, try := range request.Tries[:len(request.Tries)-1] {
		refusals = append(refusals, fmt.Sprintf("%s: %s", try.Engine, try.Reason))
	}
	return fmt.Sprintf("spilled to %s, as %s", last.Engine, strings.Join(refusals, ", "))
}

// candidatesTable shows where the chat would go now.
func candidatesTable(answer *operator.Explanation) *table {
	shown := &table{
		title: fmt.Sprintf("candidates now, as %s sees them, best first (service %s, generation %d)",
			answer.Daemon, answer.Service, answer.Generation),
		header: []string{"rank", "engine", "place", "home", "state", "in flight", "capacity", "warm"},
	}
	for i, candidate := range answer.Candidates {
		warm := ""
		if candidate.Warm {
			warm = "yes"
		}
		shown.add(i+1, candidate.Engine, candidate.Place, candidate.Home, candidate.State, candidate.InFlight, candidate.Capacity, warm)
	}
	return shown
}
