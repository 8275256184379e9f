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

// Environment variables that are used if a flag is not given.
const (
	platformEnvVar = "CROCUSLINE_PLATFORM"
	operatorEnvVar = "CROCUSLINE_OPERATOR"
)

// defaultLogTimeout is how long a command waits for the platform's log by default.
const defaultLogTimeout = 30 * time.Second

// parseBaseURL validates a base URL and returns it without a trailing slash.
func parseBaseURL(flag, text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", usagef("%s %q is not a URL such as http://10.0.0.7:7101", flag, text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

// platformFlags are the flags of commands that access the platform's log.
type platformFlags struct {
	url     string
	by      string
	timeout time.Duration
}

func newPlatformFlags() platformFlags {
	return platformFlags{timeout: defaultLogTimeout}
}

func (f *platformFlags) addPlatformFlags(sub *flaggy.Subcommand) {
	sub.String(&f.url, "p", "platform", "URL of the platform's log ($"+platformEnvVar+")")
	sub.String(&f.by, "", "by", "name of the person who makes the change; default: the user name")
	sub.Duration(&f.timeout, "", "timeout", "how long to wait for the log")
}

// publisher returns the name that is recorded with a change.
func (f *platformFlags) publisher() string {
	if f.by != "" {
		return f.by
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// operatorFlags are the flags of commands that query running processes.
type operatorFlags struct {
	urls []string
}

func (f *operatorFlags) addOperatorFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.urls, "o", "operator", "URL of an entry's operator listener; may be repeated ($"+operatorEnvVar+")")
}

func (f *operatorFlags) fillFromEnv(con console) {
	if len(f.urls) == 0 && con.env(operatorEnvVar) != "" {
		f.urls = strings.Split(con.env(operatorEnvVar), ",")
	}
}

// clients returns one client per URL.
func (f *operatorFlags) clients(con console) ([]operatorv1connect.StatusServiceClient, error) {
	f.fillFromEnv(con)
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	client := &http.Client{Transport: transport, Timeout: fleetTimeout}
	var list []operatorv1connect.StatusServiceClient
	for _, text := range f.urls {
		base, err := parseBaseURL("--operator", text)
		if err != nil {
			return nil, err
		}
		list = append(list, operatorv1connect.NewStatusServiceClient(client, base))
	}
	return list, nil
}

// fleetTimeout is the timeout of a request for the fleet's status.
const fleetTimeout = 10 * time.Second

// changeID returns the ID of a change: the one from the flag, or else a new one.
func changeID(flag string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	id, err := uuid.NewV7()
	return id.String(), errors.WithStack(err)
}
