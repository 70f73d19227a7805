package commander

import (
	"errors"

	"oriolemill.example/oriolemill/pkg/client"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitError   = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitFailed  = 4
	exitUnknown = 5
)

// exitCodeMeaning is an exit code with its meaning, as the documentation lists it.
type exitCodeMeaning struct {
	code    int
	meaning string
}

// exitCodes returns all exit codes with their meanings.
func exitCodes() []exitCodeMeaning {
	return []exitCodeMeaning{
		{exitOK, "done"},
		{exitError, "any other error; standard error has the message. `check`: there are findings"},
		{exitUsage, "a wrong flag, argument or setting; nothing was done"},
		{exitNotRun, "`call`: the request was certainly not run"},
		{exitFailed, "`call`: the request ran in part, without side effect"},
		{exitUnknown, "`call`: a side effect may or may not have happened"},
	}
}

// codedError is an error that ends the program with a specific exit code.
type codedError struct {
	code  int
	cause error
}

// withExitCode returns an error that ends the program with the given code.
func withExitCode(code int, cause error) error { return &codedError{code: code, cause: cause} }

// Error returns the cause's text.
func (e *codedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *codedError) Unwrap() error { return e.cause }

// exitCodeOf returns the exit code of an error. It is exitOK for nil, and exitError
// for an error without a code of its own.
func exitCodeOf(err error) int {
	var e *codedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e):
		return e.code
	default:
		return exitError
	}
}

// withOutcomeCode returns a request's error with the exit code of its outcome, or nil
// when the outcome is done.
func withOutcomeCode(err error) error {
	switch client.OutcomeOf(err) {
	case client.OutcomeDone:
		return nil
	case client.OutcomeNotRun:
		return withExitCode(exitNotRun, err)
	case client.OutcomeFailed:
		return withExitCode(exitFailed, err)
	default:
		return withExitCode(exitUnknown, err)
	}
}
