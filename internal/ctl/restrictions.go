package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockknot/internal/protocol/restrictions"
)

// listRestrictions prints what each gateway holds back at the moment. If one does not
// answer, it prints the others and returns the error.
func (c *command) listRestrictions(ctx context.Context) error {
	if _, err := c.firstDaemon(); err != nil {
		return err
	}
	answers := make([]*restrictions.Restrictions, len(c.daemons))
	errs := make([]error, len(c.daemons))
	c.forEachDaemon(func(i int, address string) {
		answers[i], errs[i] = queryDaemon[restrictions.Restrictions](ctx, address, restrictions.Path)
	})
	parts := &table{title: "requests and parts of prompts that are held back", header: []string{"host", "kind", "digest or part", "crashes", "engines", "next trial", "trial here"}}
	targets := &table{title: "targets with a limit", header: []string{"host", "target", "per s", "next request in", "said ago"}}
	printed := []*restrictions.Restrictions{}
	for _, answer := range answers {
		if answer == nil {
			continue
		}
		printed = append(printed, answer)
		for _, part := range answer.Parts {
			kind := "part"
			if part.WholeRequest {
				kind = "request"
			}
			parts.addRow(answer.Host, kind, part.Part, part.Crashes, part.Engines, milliseconds(part.TrialInMs), part.TrialIsHere)
		}
		for _, target := range answer.Targets {
			targets.addRow(answer.Host, target.Target, target.PerS, milliseconds(target.WaitMs), milliseconds(target.AgeMs))
		}
	}
	for _, t := range []*table{parts, targets} {
		t.footer = fmt.Sprint(len(t.rows), " in all")
	}
	if err := c.print(printed, parts, targets); err != nil {
		return err
	}
	return errors.Join(errs...)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
