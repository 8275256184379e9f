package cmd

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/services/stream"
)

// session is a command's connection to the platform.
type session struct {
	incarnation string
	log         platform.Log
	control     *control.Service
	// state is the fleet's state when the session was opened.
	state *fleet.State
	// timeout limits each wait for the log.
	timeout time.Duration
	close   func()
}

// openSession reads the control stream up to its end. The caller closes the session.
func (f *platformFlags) openSession(ctx context.Context, con console) (*session, error) {
	if f.url == "" {
		f.url = con.env(platformEnvVar)
	}
	if f.url == "" {
		return nil, usagef("no platform; give --platform http://ADDRESS:PORT or set %s", platformEnvVar)
	}
	base, err := parseBaseURL("--platform", f.url)
	if err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &session{incarnation: "operator/" + id.String(), timeout: f.timeout}
	s.log = platform.NewClient(&http.Client{}, base, platform.WithClientName(s.incarnation))
	s.control = control.New(hclog.NewNullLogger(), s.log, fleet.Member{Incarnation: s.incarnation}, control.AsObserver())
	if err := s.control.Start(ctx, nil); err != nil {
		return nil, err
	}
	s.close = func() { _ = s.control.Close() }
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if s.state, err = s.control.CatchUp(ctx); err != nil {
		s.close()
		return nil, errors.Errorf("the platform's log at %s did not answer within %s; nothing was changed", base, f.timeout)
	}
	return s, nil
}

// publish publishes the event and waits for its result.
func (s *session) publish(ctx context.Context, event fleet.Event) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	result, err := s.control.Publish(ctx, event)
	if err != nil {
		return nil, publishError(err)
	}
	return result, nil
}

// publishError returns an error whose exit code shows whether the change may still take
// effect.
func publishError(err error) error {
	var unsent *stream.UnsentError
	if errors.As(err, &unsent) {
		return &ExitError{Code: NotRun, Cause: errors.WithMessage(err, "nothing was changed")}
	}
	return &ExitError{Code: Unknown, Cause: errors.WithMessage(err,
		"unknown whether the change took or will take effect; run the command again with the same --id")}
}
