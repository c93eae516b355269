// Package refusal defines the typed errors that callers receive in place of an answer. A
// refusal has a stable reason code and says whether the request may have run and when
// the caller should retry.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// Reason is a stable code for the reason of a refusal. docs/ERRORS.md describes what
// each code means to a caller.
type Reason string

// The reasons for which a request can be refused.
const (
	MalformedRequest  Reason = "malformed_request"
	BodyTooLarge      Reason = "body_too_large"
	BodyIncomplete    Reason = "body_incomplete"
	BodyTimeout       Reason = "body_timeout"
	NoBufferSpace     Reason = "no_buffer_space"
	HeaderTooLarge    Reason = "header_too_large"
	HeaderUnreadable  Reason = "header_unreadable"
	MethodNotAllowed  Reason = "method_not_allowed"
	UnknownKey        Reason = "unknown_key"
	UnknownModel      Reason = "unknown_model"
	UnknownPath       Reason = "unknown_path"
	UnknownClass      Reason = "unknown_class"
	NotReady          Reason = "not_ready"
	Stopping          Reason = "stopping"
	EngineBusy        Reason = "engine_busy"
	EngineLeaving     Reason = "engine_leaving"
	EngineUnknown     Reason = "engine_unknown"
	EngineFailed      Reason = "engine_failed"
	EngineStalled     Reason = "engine_stalled"
	Superseded        Reason = "superseded"     // only of attempts: another one has had an answer first
	ChatElsewhere     Reason = "chat_elsewhere" // only between daemons: another engine has cached the chat
	NoEngine          Reason = "no_engine"
	WorkspaceLimit    Reason = "workspace_limit"
	DeadlineUnmet     Reason = "deadline_unmet"
	HomeUnreachable   Reason = "home_unreachable"
	HomeLost          Reason = "home_lost"
	StartDenied       Reason = "start_denied"
	AnswerIncomplete  Reason = "answer_incomplete"
	AnswerMismatch    Reason = "answer_mismatch"
	AnswerTooLarge    Reason = "answer_too_large"
	PlatformAway      Reason = "platform_away"
	KeyInUse          Reason = "idempotency_key_in_use"
	KeyOutcomeUnknown Reason = "idempotency_key_outcome_unknown"
	KeyMismatch       Reason = "idempotency_key_mismatch"
	KeyAnswerNotKept  Reason = "idempotency_answer_not_kept"
	KeyStoreFull      Reason = "idempotency_store_full"
	CallerGone        Reason = "caller_gone"
	Internal          Reason = "internal"
)

// statusByReason maps reasons to HTTP statuses; the default is 503.
var statusByReason = map[Reason]int{
	MalformedRequest:  http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	BodyIncomplete:    http.StatusBadRequest,
	BodyTimeout:       http.StatusRequestTimeout,
	HeaderTooLarge:    http.StatusRequestHeaderFieldsTooLarge,
	MethodNotAllowed:  http.StatusMethodNotAllowed,
	EngineStalled:     http.StatusBadGateway,
	UnknownKey:        http.StatusUnauthorized,
	UnknownModel:      http.StatusNotFound,
	UnknownPath:       http.StatusNotFound,
	UnknownClass:      http.StatusBadRequest,
	WorkspaceLimit:    http.StatusTooManyRequests,
	EngineFailed:      http.StatusBadGateway,
	HomeLost:          http.StatusBadGateway,
	AnswerIncomplete:  http.StatusBadGateway,
	AnswerMismatch:    http.StatusBadGateway,
	AnswerTooLarge:    http.StatusBadGateway,
	KeyInUse:          http.StatusConflict,
	KeyOutcomeUnknown: http.StatusConflict,
	KeyMismatch:       http.StatusUnprocessableEntity,
	KeyAnswerNotKept:  http.StatusConflict,
	Internal:          http.StatusInternalServerError,
}

// Refusal is an error that a caller receives in place of an answer.
type Refusal struct {
	Reason       Reason
	Outcome      peerpb.Outcome
	RetryAfter   time.Duration // 0: a retry does not help
	Detail       string        // for people to read; names the step and the peer that failed
	BetterEngine string        // an engine that may accept the request; empty if none is known
	LeftQueue    bool          // the request has waited as a last resort, and may still go to BetterEngine
}

// NotRun returns a refusal of a request that did not run.
func NotRun(reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:     reason,
		Outcome:    peerpb.Outcome_OUTCOME_NOT_RUN,
		RetryAfter: retryAfter,
		Detail:     fmt.Sprintf(format, args...),
	}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: peerpb.Outcome_OUTCOME_UNKNOWN,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.OutcomeText(), r.Detail)
}

// DidNotRun reports whether it is certain that the request did not run.
func (r *Refusal) DidNotRun() bool {
	return r.Outcome == peerpb.Outcome_OUTCOME_NOT_RUN
}

// OutcomeText returns the outcome as callers see it: "not_run" or "unknown".
func (r *Refusal) OutcomeText() string {
	if r.DidNotRun() {
		return "not_run"
	}
	return "unknown"
}

// Status returns the HTTP status for the refusal.
func (r *Refusal) Status() int {
	if status, ok := statusByReason[r.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// ToProto returns the refusal as a message of the protocol between daemons.
func (r *Refusal) ToProto() *peerpb.Refusal {
	return &peerpb.Refusal{
		Reason:       string(r.Reason),
		Outcome:      r.Outcome,
		RetryAfterMs: uint32(r.RetryAfter / time.Millisecond),
		Detail:       r.Detail,
		BetterEngine: r.BetterEngine,
		LeftQueue:    r.LeftQueue,
	}
}

// FromProto returns the refusal that a message of the protocol between daemons holds.
func FromProto(message *peerpb.Refusal) *Refusal {
	return &Refusal{
		Reason:       Reason(message.GetReason()),
		Outcome:      message.GetOutcome(),
		RetryAfter:   time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
		Detail:       message.GetDetail(),
		BetterEngine: message.GetBetterEngine(),
		LeftQueue:    message.GetLeftQueue(),
	}
}
