package soak

import (
	"fmt"
	"net/http"

	"hemlockknot/platform/standin"
)

// judge returns what must not have happened, from what callers got and targets
// ran.
func judge(requests []request, targets []*standin.Target) []string {
	runs := make(map[string][]*standin.Run)
	for _, target := range targets {
		for _, run := range target.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	var broken []string
	asked := make(map[string]bool, len(requests))
	for _, each := range requests {
		asked[each.id] = true
		for _, fault := range judgeOne(each, runs[each.id]) {
			broken = append(broken, fmt.Sprintf("request %s %s (status %d): %s", each.id, each.path, each.status, fault))
		}
	}
	for id := range runs {
		if !asked[id] {
			broken = append(broken, "a target ran "+id+", which nobody asked")
		}
	}
	return broken
}

func judgeOne(asked request, runs []*standin.Run) []string {
	var broken []string
	if !asked.repeatable && len(runs) > 1 {
		broken = append(broken, fmt.Sprintf("ran %d times", len(runs)))
	}
	refused := asked.status == http.StatusServiceUnavailable || asked.status == http.StatusTooManyRequests
	if refused && !asked.repeatable && len(runs) > 0 {
		broken = append(broken, "refused as not run, and has run")
	}
	if asked.status == http.StatusOK && asked.whole && asked.text != wanted(asked) {
		broken = append(broken, fmt.Sprintf("its answer is %q", asked.text))
	}
	if asked.status >= http.StatusBadRequest && asked.status < http.StatusInternalServerError {
		broken = append(broken, "rejected, though it is proper")
	}
	for _, run := range runs {
		if run.URI != asked.path || run.Body != asked.body || run.Method != http.MethodPost {
			broken = append(broken, fmt.Sprintf("reached its target as %s %s %q", run.Method, run.URI, run.Body))
		}
		if run.Workspace() != standin.Workspace || len(run.Leaked()) > 0 {
			broken = append(broken, fmt.Sprintf("its target was told workspace %q and %v", run.Workspace(), run.Leaked()))
		}
	}
	return broken
}

func wanted(asked request) string {
	if asked.stream {
		return standin.Stream()
	}
	return "answer to " + asked.id
}

// repeats returns how many runs were not the first of their request.
func repeats(targets []*standin.Target) int {
	seen := make(map[string]bool)
	count := 0
	for _, target := range targets {
		for _, run := range target.Runs() {
			if seen[run.ID] {
				count++
			}
			seen[run.ID] = true
		}
	}
	return count
}
