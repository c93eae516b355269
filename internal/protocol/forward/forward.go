// Package forward encodes what a daemon adds to a request that it passes to another daemon,
// and to the answer that comes back. A daemon that reaches no target of a service does so.
// The request itself, its body and the answer of the target travel unchanged in one HTTP/1.1
// exchange. The second daemon makes one attempt: which attempts follow, and what the caller
// gets, remains the decision of the first one.
package forward

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockknot/internal/state/routing"
)

// Headers of an exchange between daemons, in the canonical form of net/http.
const (
	headerRequest = "Hemlockknot-Forward"
	headerAnswer  = "Hemlockknot-Forward-Answer"
)

// Request is what a daemon has decided on a request that it passes on.
type Request struct {
	Entry           string        // host that received the request
	Service         string        // whose targets may serve it
	Workspace       string        // empty for anonymous requests
	Route           routing.Route // with the priority that applies
	DocumentVersion int64         // of the configuration by which Entry decided
	Remaining       time.Duration // until the deadline
	LastEventID     int64         // last event of the stream that the caller has; 0: none
	SoftwareVersion string        // the only version that may serve the request, if VersionPinned
	VersionPinned   bool
	Tried           []string // ids of targets that may have received the request
	BrokenAt        uint32   // incarnation of the last target whose connection broke; 0: none
	Digest          uint64   // of the content
}

// Outcome is how the attempt of the second daemon ended.
type Outcome string

// Outcomes of an attempt.
const (
	Answered     Outcome = "answered"      // the answer is that of a target
	Unreached    Outcome = "unreached"     // not run: the second daemon cannot serve the request either
	NoTarget     Outcome = "no_target"     // not run: no target may serve the request
	Refused      Outcome = "refused"       // not run: a target has refused it
	HeldBack     Outcome = "held_back"     // not run: it must not be sent to any target
	NoAnswer     Outcome = "no_answer"     // a target may have run it and has not answered
	PastDeadline Outcome = "past_deadline" // not sent: the deadline has passed
)

// Answer describes the attempt of the second daemon.
type Answer struct {
	Outcome         Outcome
	Reason          string        // why there is no answer of a target
	Target          string        // id of the target to which the request was sent; empty: none
	SoftwareVersion string        // of that target
	BrokenAt        uint32        // incarnation of that target if its connection broke
	RetryAfter      time.Duration // when the caller may retry; 0 if not said
}

// SetRequest adds the description of a request to its headers. It replaces one that a caller
// has forged.
func SetRequest(header http.Header, request Request) { header[headerRequest] = encode(request) }

// ParseRequest returns the description of a request and removes it from the headers.
func ParseRequest(header http.Header) (Request, error) {
	var request Request
	err := decode(header, headerRequest, &request)
	return request, err
}

// SetAnswer adds the description of an attempt to the headers of its answer.
func SetAnswer(header http.Header, answer Answer) { header[headerAnswer] = encode(answer) }

// ParseAnswer returns the description of an attempt and removes it from the headers.
func ParseAnswer(header http.Header) (Answer, error) {
	var answer Answer
	err := decode(header, headerAnswer, &answer)
	return answer, err
}

// encode returns a value as a header: JSON may hold bytes that no header may.
func encode(value any) []string {
	content, _ := json.Marshal(value) // the types above always encode
	return []string{base64.StdEncoding.EncodeToString(content)}
}

func decode(header http.Header, name string, value any) error {
	text := header.Get(name)
	delete(header, name)
	content, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	if err := json.Unmarshal(content, value); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	return nil
}
