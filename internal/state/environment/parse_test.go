package environment

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// invalidDocument has at least one problem on each line that wantProblems
// contains.
const invalidDocument = `name: ""
places:
  - {name: p1, failure_domain: a}
  - {name: p1}
  - {name: "p 2", failure_domain: a}
services:
  - {name: m1, kind: model, models: [hk, hk]}
  - {name: hk, kind: model, load_bound: 0.5, path: /x/}
  - {name: s1, kind: plain, queue_length: -1}
  - {name: s2, kind: plain, path: /v1/x/}
  - name: s3
    kind: plain
    path: /ledger/
    repeatable:
      - {method: get, path: /ledger/*}
      - {method: GET, path: /other}
      - {method: GET, path: /ledger/*/x}
  - {name: s4, kind: plain, path: /ledger/, models: [x]}
  - {name: s5, kind: plain, path: ledger}
  - {name: s6, kind: other, load_bound: .nan}
engines:
  - {name: e1, service: none, place: none, address: "192.0.2.1:80"}
  - {name: e2, service: m1, place: p1, address: "192.0.2.1:80", capacity: many}
  - {name: e1, service: m1, place: p1, address: "192.0.2.1", capacity: 100001}
classes:
  - {name: gate, priority: 8, deadline: 1ms}
  - {name: gate, priority: -1, deadline: soon}
workspaces:
  - {name: w1, share: -1, class: none, keys_sha256: [abc]}
  - name: w2
    keys_sha256:
      - AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA
      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
colour: red
`

// wantProblems are the prefixes of the problems of invalidDocument, in order.
var wantProblems = []string{
	`d:1: name: found nothing, allowed: the environment's name`,
	`d:4: places[1].name: found "p1", allowed: a name that no other entry of places has`,
	`d:4: places[1].failure_domain: found nothing`,
	`d:5: places[2].name: found "p 2", allowed: at most 100 letters, digits`,
	`d:7: services[0].models[1]: found "hk", allowed: a model that service "m1" does not offer`,
	`d:8: services[1].load_bound: found 0.5, allowed: 1 to 1000`,
	`d:8: services[1].path: found "/x/", allowed: no path`,
	`d:8: services[1].name: found "hk", allowed: a model that service "m1" does not offer`,
	`d:9: services[2].queue_length: found -1, allowed: 0 to 10000`,
	`d:9: services[2].path: found nothing, allowed: a prefix`,
	`d:10: services[3].path: found "/v1/x/", allowed: a prefix such as "/ledger/", outside /v1/`,
	`d:15: services[4].repeatable[0].method: found "get", allowed: GET, HEAD`,
	`d:16: services[4].repeatable[1].path: found "/other", allowed: a path under "/ledger/"`,
	`d:17: services[4].repeatable[2].path: found "/ledger/*/x"`,
	`d:18: services[5].models: found 1, allowed: no models`,
	`d:18: services[5].path: found "/ledger/", allowed: a prefix that service "s3" does not have`,
	`d:19: services[6].path: found "ledger", allowed: a prefix`,
	`d:20: services[7].load_bound: found .nan, allowed: a number`,
	`d:20: services[7].kind: found "other", allowed: model or plain`,
	`d:22: engines[0].service: found "none", allowed: the name of an entry of services`,
	`d:22: engines[0].place: found "none", allowed: the name of an entry of places`,
	`d:22: engines[0].capacity: found 0, allowed: 1 to 100000`,
	`d:23: engines[1].capacity: found "many", allowed: a whole number`,
	`d:23: engines[1].address: found "192.0.2.1:80", allowed: an address that engine "e1" does not have`,
	`d:24: engines[2].name: found "e1", allowed: a name that no other entry`,
	`d:24: engines[2].capacity: found 100001, allowed: 1 to 100000`,
	`d:24: engines[2].address: found "192.0.2.1", allowed: host:port`,
	`d:26: classes[0].priority: found 8, allowed: 0 to 7`,
	`d:26: classes[0].deadline: found 1ms, allowed: 10ms to 24h0m0s`,
	`d:27: classes[1].deadline: found "soon", allowed: a duration`,
	`d:27: classes[1].name: found "gate"`,
	`d:27: classes[1].priority: found -1, allowed: 0 to 7`,
	`d:29: workspaces[0].share: found -1, allowed: 0 to 1e+06`,
	`d:29: workspaces[0].class: found "none", allowed: the name of an entry of classes`,
	`d:29: workspaces[0].keys_sha256[0]: found "abc", allowed: the SHA-256`,
	`d:33: workspaces[1].keys_sha256[1]: found "aaaa`,
	`d:34: colour: found an unknown key, allowed: name, places, services, engines, workspaces, classes`,
}

func TestBadDocumentIsRefusedWithEveryError(t *testing.T) {
	_, err := ParseNamed("d", []byte(invalidDocument))
	must.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	for i, want := range wantProblems {
		must.Less(t, len(lines), i, must.Sprint("missing: ", want))
		must.StrHasPrefix(t, want, lines[i])
	}
	must.Len(t, len(wantProblems), lines)
}

func TestDocumentOfTheWrongForm(t *testing.T) {
	large := "name: " + strings.Repeat("x", MaxBytes)
	cases := map[string]string{
		"":                   "d: found an empty file, allowed: a mapping",
		"name: [\n":          "d:1: found",
		"text":               `d:1: found "text", allowed: a mapping`,
		large:                "d: found 1048582 bytes, allowed: at most 1048576 bytes",
		"name: a\n":          "d:1: places: found nothing, allowed: at least one place",
		"name: a\nname: b\n": "d:1: places: found nothing",
	}
	for text, want := range cases {
		_, err := ParseNamed("d", []byte(text))
		must.Error(t, err)
		must.StrHasPrefix(t, want, err.Error())
	}
}

// maxParseTime is a fifth of the 15 s within which a changed document must take
// effect.
const maxParseTime = 3 * time.Second

func TestHostileDocumentsAreRefusedSoon(t *testing.T) {
	const repetitions = 100_000
	cases := map[string]string{
		"{a: ": "d:1: found brackets nested deeper, allowed: 32 levels",
		"[":    "d:1: found brackets nested deeper, allowed: 32 levels",
		"a: ":  "d:1: found mapping value is not allowed in this context, allowed: YAML",
		"*a ":  "d:1: found value is not allowed in this context",
	}
	for part, want := range cases {
		start := time.Now()
		_, err := ParseNamed("d", []byte("places: "+strings.Repeat(part, repetitions)))
		must.Error(t, err)
		must.StrHasPrefix(t, want, err.Error())
		must.Less(t, maxParseTime, time.Since(start))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidDocument))
	f.Add([]byte("name: &a [*a]\n<<: *a\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = Parse(text)
	})
}
