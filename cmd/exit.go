package cmd

import (
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

//go:generate stringer -type=ExitCode -linecomment -output=exit_string.go

// ExitCode is the status with which a command ends, for scripts.
type ExitCode int

// The exit codes.
const (
	Succeeded  ExitCode = iota // succeeded
	Failed                     // failed
	Usage                      // usage
	RetryLater                 // comeBack
	NotRun                     // notRun
	Unknown                    // unknown
)

// ExitError ends a command with a code of its own.
type ExitError struct {
	Code  ExitCode
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// usagef returns the error of a command line that makes no sense.
func usagef(format string, args ...any) error {
	return &ExitError{Code: Usage, Cause: errors.Errorf(format, args...)}
}

// codeOf returns the exit code of a command's error.
func codeOf(err error) ExitCode {
	var exit *ExitError
	var bad *setting.Error
	switch {
	case err == nil:
		return Succeeded
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &bad):
		return Usage
	default:
		return Failed
	}
}
