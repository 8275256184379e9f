package cmd

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/services/stream"
)

// Environment variables that stand in for flags.
const (
	platformVariable = "CROCUSLINE_PLATFORM"
	operatorVariable = "CROCUSLINE_OPERATOR"
)

// publishTimeout bounds how long a command waits for the log.
const publishTimeout = 30 * time.Second

// endpoint checks a base URL and returns it without a slash at its end.
func endpoint(flag, text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", usagef("%s %q is not a URL such as http://10.0.0.7:7101", flag, text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

// platformFlags are the flags of commands that speak to the platform.
type platformFlags struct {
	url     string
	by      string
	timeout time.Duration
}

func newPlatformFlags() platformFlags {
	return platformFlags{timeout: publishTimeout}
}

func (f *platformFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.url, "p", "platform", "URL of the platform's log ($"+platformVariable+")")
	sub.String(&f.by, "", "by", "who makes the change; the user's name if not given")
	sub.Duration(&f.timeout, "", "timeout", "how long the log may take")
}

// operator returns the name under which a change is published.
func (f *platformFlags) operator() string {
	if f.by != "" {
		return f.by
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// session is a command's connection to the platform.
type session struct {
	incarnation string
	log         platform.Log
	control     *control.Service
	// state is the fleet's state when the session began.
	state *fleet.State
	// timeout bounds each wait for the log.
	timeout time.Duration
	end     func()
}

// open reads the control stream to its end. The caller ends the session.
func (f *platformFlags) open(ctx context.Context, con console) (*session, error) {
	if f.url == "" {
		f.url = con.env(platformVariable)
	}
	if f.url == "" {
		return nil, usagef("no platform; give --platform http://ADDRESS:PORT or set %s", platformVariable)
	}
	base, err := endpoint("--platform", f.url)
	if err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &session{incarnation: "operator/" + id.String(), timeout: f.timeout}
	s.log = platform.NewClient(&http.Client{}, base, platform.WithName(s.incarnation))
	s.control = control.New(hclog.NewNullLogger(), s.log, fleet.Member{Incarnation: s.incarnation}, control.AsObserver())
	if err := s.control.Start(ctx, nil); err != nil {
		return nil, err
	}
	s.end = func() { _ = s.control.Close() }
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if s.state, err = s.control.CatchUp(ctx); err != nil {
		s.end()
		return nil, errors.Errorf("the platform's log at %s did not answer within %s; nothing was changed", base, f.timeout)
	}
	return s, nil
}

// publish publishes the event and waits for its effect.
func (s *session) publish(ctx context.Context, event fleet.Event) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	result, err := s.control.Publish(ctx, event)
	if err != nil {
		return nil, publishError(err)
	}
	return result, nil
}

// publishError says whether the change may take effect.
func publishError(err error) error {
	var unsent *stream.UnsentError
	if errors.As(err, &unsent) {
		return &ExitError{Code: NotRun, Cause: errors.WithMessage(err, "nothing was changed")}
	}
	return &ExitError{Code: Unknown, Cause: errors.WithMessage(err,
		"unknown whether the change took or will take effect; run the command again with the same --id")}
}

// operatorFlags are the flags of commands that ask running processes.
type operatorFlags struct {
	urls []string
}

func (f *operatorFlags) attach(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.urls, "o", "operator", "URL of an entry's operator listener; may be repeated ($"+operatorVariable+")")
}

func (f *operatorFlags) fill(con console) {
	if len(f.urls) == 0 && con.env(operatorVariable) != "" {
		f.urls = strings.Split(con.env(operatorVariable), ",")
	}
}

// clients returns a client for each URL given.
func (f *operatorFlags) clients(con console) ([]operatorv1connect.StatusServiceClient, error) {
	f.fill(con)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	client := &http.Client{Transport: transport, Timeout: fleetTimeout}
	var list []operatorv1connect.StatusServiceClient
	for _, text := range f.urls {
		base, err := endpoint("--operator", text)
		if err != nil {
			return nil, err
		}
		list = append(list, operatorv1connect.NewStatusServiceClient(client, base))
	}
	return list, nil
}

// fleetTimeout bounds one question for the fleet's state.
const fleetTimeout = 10 * time.Second

// newID returns the ID of a change: the one given, or a new one.
func newID(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	id, err := uuid.NewV7()
	return id.String(), errors.WithStack(err)
}
