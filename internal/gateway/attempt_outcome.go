package gateway

import (
	"errors"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/transport/exchange"
)

// recordOutcome records how an attempt ended. If that ejects the target, it closes the
// idle connections to it. An outcome that is not conclusive says nothing about the target.
func (g *Gateway) recordOutcome(a *targetAttempt, outcome outlier.Outcome, conclusive bool) {
	if a.via != "" {
		return // the daemon that made the attempt records it
	}
	ejected, released := g.coordinator.finishAttempt(a.choice.Target, a.features(), outcome, conclusive)
	g.recordReleased(released)
	if ejected {
		g.handleEjection(a)
	}
}

// handleEjection closes the idle connections to the target of an attempt, which is ejected.
func (g *Gateway) handleEjection(a *targetAttempt) {
	g.metrics.countEjection()
	g.pool.CloseIdle(a.choice.Target.Address)
	g.log.Warn("target ejected", "target", a.choice.Target.ID, "request", a.call.ID, "reason", a.reason)
}

// conclusive reports whether the end of an attempt without a complete answer is a failure of its
// target that has not been recorded yet. It is none if the caller has left or another attempt was
// faster.
func (a *targetAttempt) conclusive(timedOut bool) bool {
	return !a.ended() && !a.wasSuperseded() && !(timedOut && a.silenceRecorded.Load())
}

// showsFault reports whether the end of an attempt without a complete answer shows that its target
// is silent or has broken the exchange off.
func (a *targetAttempt) showsFault() bool {
	return !a.ended() && (!a.wasSuperseded() || a.silenceRecorded.Load())
}

// handleAttemptError records an attempt that has brought no response and classifies it by
// whether the request was sent.
func (g *Gateway) handleAttemptError(a *targetAttempt, exchangeErr *exchange.Error) attempt.Outcome {
	if !exchangeErr.MaybeSent {
		a.recordUnsent()
	}
	target := a.choice.Target
	conclusive := a.conclusive(exchangeErr.TimedOut)
	switch {
	case errors.Is(exchangeErr, exchange.ErrExpired):
		a.reason = "paused" // says nothing about the target
		g.recordOutcome(a, outlier.Unreachable, false)
		return attempt.NotSent
	case !exchangeErr.MaybeSent:
		a.reason = "unreachable"
		conclusive = a.conclusive(false) // that no connection could be opened has not been recorded as silence
		g.recordOutcome(a, outlier.Unreachable, conclusive)
		if conclusive {
			g.recordUnanswered(target, exchangeErr.MaybeSent)
		}
		if exchangeErr.TimedOut && conclusive && g.coordinator.recordUnreachable(target) {
			g.handleCutOff(target.FailureDomain, "unreachable")
		}
		return attempt.NotSent
	case exchangeErr.TimedOut:
		a.reason = "silent"
		g.recordOutcome(a, outlier.TimedOut, conclusive)
	default:
		a.reason = "broken"
		g.recordOutcome(a, outlier.ConnectionLost, conclusive)
	}
	if a.showsFault() {
		g.checkForCrash(a, quarantine.NoAnswer, exchangeErr.TimedOut)
	}
	if !a.ended() && !a.wasSuperseded() {
		g.recordUnanswered(target, exchangeErr.MaybeSent)
	}
	if !a.ended() {
		g.log.Info("attempt failed", "request", a.call.ID, "target", target.ID, "reason", a.reason, "superseded", a.wasSuperseded(), "error", exchangeErr, "digest", digestName(a.digest), "shared_parts", loggedParts(a.call.Parts))
	}
	return attempt.NoAnswer
}

// progressOf returns how far a target that had sent headers had got with its answer.
func progressOf(begun bool) quarantine.Progress {
	if begun {
		return quarantine.AnswerBegun
	}
	return quarantine.HeadersSent
}
