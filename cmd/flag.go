package cmd

import (
	"net"
	"net/http"
	"net/url"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/wire/operator/v1/operatorv1connect"
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
