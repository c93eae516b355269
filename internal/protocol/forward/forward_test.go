package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/protocol/forward"
	"hemlockknot/internal/state/routing"
)

func TestDescriptionsSurviveTheirHeaders(t *testing.T) {
	request := Request{
		Entry: "front-1", Service: "desk\r\nX-Forged: 1", Workspace: "fischer & söhne", Route: routing.Route{Name: "r", Kind: routing.Stream, Resumable: true, Priority: 3},
		Remaining: 1500 * time.Millisecond, LastEventID: 7, SoftwareVersion: "", VersionPinned: true, Tried: []string{"a", "b"}, BrokenAt: 9, Digest: 1<<64 - 1,
	}
	header := http.Header{}
	SetRequest(header, Request{Service: "forged"})
	SetRequest(header, request)
	decoded, err := ParseRequest(header)
	must.NoError(t, err)
	must.Eq(t, request, decoded)
	must.MapEmpty(t, header)

	answer := Answer{Outcome: Refused, Reason: "refused_by_target", Target: "a", SoftwareVersion: "v1", RetryAfter: time.Second}
	SetAnswer(header, answer)
	decodedAnswer, err := ParseAnswer(header)
	must.NoError(t, err)
	must.Eq(t, answer, decodedAnswer)
}

func TestBadDescriptionsAreErrors(t *testing.T) {
	for _, text := range []string{"", "%%%", "bm90IGpzb24="} {
		_, err := ParseRequest(http.Header{"Hemlockknot-Forward": {text}})
		must.Error(t, err, must.Sprint(text))
		_, err = ParseAnswer(http.Header{"Hemlockknot-Forward-Answer": {text}})
		must.Error(t, err, must.Sprint(text))
	}
}
