package cutoff_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/cutoff"
)

func TestSilent(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ago := func(milliseconds int) time.Time { return now.Add(-time.Duration(milliseconds) * time.Millisecond) }
	cases := []struct {
		name   string
		flows  []Flow
		silent []string
	}{
		{"all flow", []Flow{{"north", 3, ago(5)}, {"south", 3, ago(20)}}, nil},
		{"one domain is silent", []Flow{{"north", 3, ago(5)}, {"south", 3, ago(150)}}, []string{"south"}},
		{"a single engine may be reading", []Flow{{"north", 3, ago(5)}, {"south", 1, ago(300)}}, nil},
		{"everything stands still: so does this daemon", []Flow{{"north", 3, ago(150)}, {"south", 3, ago(150)}}, nil},
		{"the own domain is not cut off", []Flow{{"north", 3, ago(300)}, {"south", 3, ago(5)}}, nil},
		{"no streams, no evidence", []Flow{{"north", 3, ago(5)}, {"south", 0, ago(9000)}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.silent, Silent(c.flows, "north", now)) })
	}
}
