package ctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"hemlockknot/internal/state/revision"
	"hemlockknot/internal/state/strictyaml"
)

// ExitCode is what the tool's process ends with; docs/OPERATIONS.md lists them.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitError       ExitCode = 1 // anything without a code of its own
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitConflict    ExitCode = 3 // the environment has changed meanwhile
	ExitInvalid     ExitCode = 4 // the document is not valid
	ExitUnreachable ExitCode = 5 // the platform or a daemon does not answer
	ExitUnknown     ExitCode = 6 // a write may or may not have taken effect
)

// usageError says that the command line is wrong.
type usageError struct{ error }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// unreachableError says that the platform or a daemon does not answer.
type unreachableError struct{ error }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.error }

// failure is the form of an error with --output json.
type failure struct {
	Error    string                  `json:"error"`
	ExitCode ExitCode                `json:"exit_code"`
	Problems []strictyaml.Problem    `json:"problems,omitempty"`
	Conflict *revision.ConflictError `json:"conflict,omitempty"`
	Attempt  string                  `json:"attempt,omitempty"`
}

// classify finds the exit code and the details of an error.
func classify(err error) failure {
	described := failure{Error: err.Error(), ExitCode: ExitError}
	var usage *usageError
	var invalid *strictyaml.Error
	var unknown *revision.UnknownOutcomeError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &usage):
		described.ExitCode = ExitUsage
	case errors.As(err, &described.Conflict):
		described.ExitCode = ExitConflict
	case errors.As(err, &invalid):
		described.ExitCode = ExitInvalid
		described.Problems = invalid.Problems
	case errors.Is(err, revision.ErrTooLarge):
		described.ExitCode = ExitInvalid
	case errors.As(err, &unknown):
		described.ExitCode = ExitUnknown
		described.Attempt = unknown.Attempt
	case errors.As(err, &unreachable):
		described.ExitCode = ExitUnreachable
	}
	return described
}

// fail prints an error and returns its exit code.
func (c *command) fail(err error) ExitCode {
	described := classify(err)
	if c.output == outputJSON {
		_ = json.NewEncoder(c.stderr).Encode(described)
		return described.ExitCode
	}
	_, _ = fmt.Fprintln(c.stderr, "hemlockknotctl:", described.Error)
	return described.ExitCode
}
