package cmd

import (
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

//go:generate stringer -type=ExitCode -linecomment -output=exit_string.go

// ExitCode is a command's exit status.
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

// ExitError is an error that sets the command's exit code.
type ExitError struct {
	Code  ExitCode
	Cause error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// usagef returns the error of an invalid command line.
func usagef(format string, args ...any) error {
	return &ExitError{Code: Usage, Cause: errors.Errorf(format, args...)}
}

// exitCodeFor returns the exit code for a command's error.
func exitCodeFor(err error) ExitCode {
	var exit *ExitError
	var invalid *setting.Error
	switch {
	case err == nil:
		return Succeeded
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &invalid):
		return Usage
	default:
		return Failed
	}
}
