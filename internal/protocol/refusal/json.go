package refusal

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers that accompany a refusal.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Hemlockknot-Outcome"
	HeaderReason    = "X-Hemlockknot-Reason"
)

// Body is the JSON body of a refusal. It has the structure of the errors that clients
// of the chat completions interface expect.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in Body.
type BodyError struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`    // always "hemlockknot_refusal"
	Code         Reason  `json:"code"`    // see docs/ERRORS.md
	Outcome      string  `json:"outcome"` // "not_run" or "unknown"
	RequestID    string  `json:"request_id"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// JSON returns the JSON body of the refusal.
func (r *Refusal) JSON(requestID string) []byte {
	body := Body{Error: BodyError{
		Message:      r.Detail,
		Type:         "hemlockknot_refusal",
		Code:         r.Reason,
		Outcome:      r.OutcomeText(),
		RequestID:    requestID,
		RetryAfterMS: float64(r.RetryAfter) / float64(time.Millisecond),
	}}
	encoded, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"code":"internal","outcome":"unknown"}}`)
	}
	return encoded
}

// WriteHTTP writes the refusal as the answer to a request.
func (r *Refusal) WriteHTTP(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, requestID)
	header.Set(HeaderOutcome, r.OutcomeText())
	header.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(r.JSON(requestID))
}
