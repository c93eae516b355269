package cutoff_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/cutoff"
)

func TestSilentDomains(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ago := func(milliseconds int) time.Time { return now.Add(-time.Duration(milliseconds) * time.Millisecond) }
	cases := []struct {
		name    string
		domains []DomainStreams
		silent  []string
	}{
		{"all domains are active", []DomainStreams{{"north", 3, ago(5)}, {"south", 3, ago(20)}}, nil},
		{"one domain is silent", []DomainStreams{{"north", 3, ago(5)}, {"south", 3, ago(150)}}, []string{"south"}},
		{"a single engine may be prefilling a prompt", []DomainStreams{{"north", 3, ago(5)}, {"south", 1, ago(300)}}, nil},
		{"all domains are silent because this daemon was stalled", []DomainStreams{{"north", 3, ago(150)}, {"south", 3, ago(150)}}, nil},
		{"the local domain is not reported", []DomainStreams{{"north", 3, ago(300)}, {"south", 3, ago(5)}}, nil},
		{"a domain without streams is not reported", []DomainStreams{{"north", 3, ago(5)}, {"south", 0, ago(9000)}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.silent, SilentDomains(c.domains, "north", now)) })
	}
}

func TestSilentServices(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ago := func(milliseconds int) time.Time { return now.Add(-time.Duration(milliseconds) * time.Millisecond) }
	must.Eq(t, []string{"silent", "requests wait"}, SilentServices([]ServiceActivity{
		{"silent", 3, 0, ago(150)}, {"active", 3, 0, ago(20)}, {"two engines may be prefilling prompts", 2, 0, ago(500)}, {"without streams", 0, 0, ago(9000)},
		{"requests wait", 0, 2, ago(400)}, {"requests wait and others are answered", 0, 2, ago(200)}, {"one target is silent", 0, 1, ago(900)},
	}, now))
}
