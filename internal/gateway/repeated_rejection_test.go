package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// Guards against the rejection of an earlier request that a target writes once more on a kept
// connection (third report of issue 34): who is told that a request has not run must be right, and
// what may run once must not run twice. That holds also if the caller sends a request again under its
// id, so that the id does not tell the two rejections apart.
func TestRepeatedRejectionIsNotTakenForAnother(t *testing.T) {
	calls := map[string]standin.CallerRequest{
		"booking": {Method: "POST", Path: "/bookings/1"},
		"read":    {Method: "GET", Path: "/reads/1"},
		"query":   {Method: "POST", Path: "/queries/1"},
	}
	for name, call := range calls {
		for _, between := range []int{0, 1, 5} { // other requests after the rejected one
			for _, sameID := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d others between, same id %t", name, between, sameID), func(t *testing.T) {
					f, writers, desks := newFixture(t)
					targets := desks
					if name == "query" {
						targets = writers
					}
					injectFaults(targets, standin.RepeatRejection, standin.RepeatRejection)
					send := func(id string) {
						t.Helper()
						sent := call
						sent.ID = id
						before := countRuns(id, targets[:]...)
						status, _, body := f.do(sent)
						runs := countRuns(id, targets[:]...) - before
						switch status {
						case http.StatusOK:
							must.Eq(t, 1, runs)
							if name != "query" {
								must.Eq(t, "answer to "+id, body)
							}
						case http.StatusServiceUnavailable:
							must.Eq(t, 0, runs, must.Sprint("it has run"))
						default:
							t.Fatal("status ", status)
						}
					}
					for round := range 4 { // each target rejects two and repeats both
						id := fmt.Sprint("rejected-", round)
						send(id)
						for number := range between {
							send(fmt.Sprint("other-", round, "-", number))
						}
						if !sameID {
							id += "-again"
						}
						send(id)
					}
				})
			}
		}
	}
}
