package ctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"hemlockknot/internal/state/revision"
	"hemlockknot/internal/state/strictyaml"
)

// ExitCode is an exit code of the tool's process. docs/OPERATIONS.md lists them.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitError       ExitCode = 1 // any error without a code of its own
	ExitUsage       ExitCode = 2 // the command line is invalid
	ExitConflict    ExitCode = 3 // the environment is at another generation than expected
	ExitInvalid     ExitCode = 4 // the document is not valid
	ExitUnreachable ExitCode = 5 // the platform or a daemon gives no usable answer
	ExitUnknown     ExitCode = 6 // a write may or may not have taken effect
)

// usageError means that the command line is invalid.
type usageError struct{ error }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// unreachableError means that the platform or a daemon gives no usable answer: it
// cannot be reached, or its response is an error or cannot be decoded.
type unreachableError struct{ error }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.error }

// errorReport is an error as printed with --output json.
type errorReport struct {
	Error    string                  `json:"error"`
	ExitCode ExitCode                `json:"exit_code"`
	Problems []strictyaml.Problem    `json:"problems,omitempty"`
	Conflict *revision.ConflictError `json:"conflict,omitempty"`
	Attempt  string                  `json:"attempt,omitempty"`
}

// classifyError returns the exit code and the details of an error.
func classifyError(err error) errorReport {
	report := errorReport{Error: err.Error(), ExitCode: ExitError}
	var usage *usageError
	var invalid *strictyaml.Error
	var unknown *revision.UnknownOutcomeError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &usage):
		report.ExitCode = ExitUsage
	case errors.As(err, &report.Conflict):
		report.ExitCode = ExitConflict
	case errors.As(err, &invalid):
		report.ExitCode = ExitInvalid
		report.Problems = invalid.Problems
	case errors.Is(err, revision.ErrTooLarge):
		report.ExitCode = ExitInvalid
	case errors.As(err, &unknown):
		report.ExitCode = ExitUnknown
		report.Attempt = unknown.Attempt
	case errors.As(err, &unreachable):
		report.ExitCode = ExitUnreachable
	}
	return report
}

// reportError prints an error and returns its exit code.
func (c *command) reportError(err error) ExitCode {
	report := classifyError(err)
	if c.output == outputJSON {
		_ = json.NewEncoder(c.stderr).Encode(report)
		return report.ExitCode
	}
	_, _ = fmt.Fprintln(c.stderr, "hemlockknotctl:", report.Error)
	return report.ExitCode
}
