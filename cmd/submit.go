package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
)

// Environment variables that are used if a flag is not given.
const (
	entryEnvVar     = "CROCUSLINE_ENTRY"
	tokenEnvVar     = "CROCUSLINE_TOKEN"
	workspaceEnvVar = "CROCUSLINE_WORKSPACE"
)

const (
	dialTimeout    = 2 * time.Second
	defaultWait    = 30 * time.Second
	defaultSilence = 30 * time.Second
	// deadlineMargin is added to the deadline on the client's side, so that the entry's
	// refusal at the deadline can still arrive.
	deadlineMargin = time.Second
)

// submitCommand sends one request to the entries.
type submitCommand struct {
	entries   []string
	workspace string
	kind      string
	key       string
	prompt    string
	file      string
	body      string
	tokenFile string
	caFile    string
	maxTokens int
	timeout   time.Duration
	wait      time.Duration
	silence   time.Duration
	retry     bool
}

func newSubmitCommand() *submitCommand {
	return &submitCommand{wait: defaultWait, silence: defaultSilence}
}

func (s *submitCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("submit")
	sub.Description = "Send a request and stream the response."
	sub.AddPositionalValue(&s.prompt, "prompt", 1, false, "prompt of model work; without it and --file, standard input is read")
	sub.StringSlice(&s.entries, "e", "entry", "URL of an entry; may be repeated, and they are tried in turn ($"+entryEnvVar+")")
	sub.String(&s.workspace, "w", "workspace", "workspace whose budget is billed ($"+workspaceEnvVar+")")
	sub.String(&s.kind, "k", "kind", "kind of work, as named in the routes")
	sub.String(&s.key, "", "key", "idempotency key; generated if not given")
	sub.String(&s.file, "f", "file", "file with the prompt, or with the body of a plain call; - reads standard input")
	sub.String(&s.body, "b", "body", "body of a plain call; - reads it from --file or standard input")
	sub.String(&s.tokenFile, "", "token-file", "file with the workspace's token ($"+tokenEnvVar+" holds the token itself)")
	sub.String(&s.caFile, "", "ca", "PEM file with the certificate authority of the entries")
	sub.Int(&s.maxTokens, "", "max-tokens", "maximum number of tokens to generate; 0 means the route's limit")
	sub.Duration(&s.timeout, "", "timeout", "timeout of the complete response; 0 means the route's limit")
	sub.Duration(&s.wait, "", "wait", "how long to retry after refusals and broken streams; 0 disables retries")
	sub.Duration(&s.silence, "", "silence", "how long an entry may send no message before the next one is tried")
	sub.Bool(&s.retry, "", "retry", "the request was sent before, with the same --key")
	sub.AdditionalHelpAppend = `
  The response is written to standard output; request id, key and billed tokens
  are written to standard error. A broken stream is resumed with the same key
  at the next entry, from the token where it stopped.

  Exit codes: 0 whole answer, 1 failed, 2 usage, 3 refused: come back later,
  4 not run, 5 unknown whether it ran (safe to send again with the same --key).

  echo "Draft the report for route 12." | crocusline submit -e http://10.0.0.7:7101 -w clinics -k draftReport
  crocusline submit -e http://10.0.0.7:7101 -w clinics -k confirmDelivery --body '{"stop":12}'`
	return sub
}

func (s *submitCommand) run(ctx context.Context, con console) error {
	token, err := s.fillFromEnv(con)
	if err != nil {
		return err
	}
	request, err := s.buildRequest(con)
	if err != nil {
		return err
	}
	clients, err := s.clients()
	if err != nil {
		return err
	}
	con.logf("key=%s", request.GetIdempotencyKey())
	sub := &submission{
		clients:    clients,
		request:    request,
		token:      token,
		response:   &responseWriter{out: con.out},
		logf:       con.logf,
		retryUntil: time.Now().Add(s.wait),
		silence:    s.silence,
	}
	if s.timeout > 0 {
		sub.deadline = time.Now().Add(s.timeout)
		if sub.deadline.Before(sub.retryUntil) {
			sub.retryUntil = sub.deadline
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, sub.deadline.Add(deadlineMargin))
		defer cancel()
	}
	done, err := sub.run(ctx)
	if err != nil {
		if sub.requestID != "" {
			con.logf("requestId=%s", sub.requestID)
		}
		return err
	}
	_, _ = io.WriteString(con.out, "\n")
	usage := done.GetUsage()
	con.logf("requestId=%s server=%s billedTokens=%d promptTokens=%d outputTokens=%d replayed=%t", done.GetRequestId(),
		done.GetServer(), usage.GetBilledTokens(), usage.GetPromptTokens(), usage.GetOutputTokens(), done.GetReplayed())
	return nil
}

// fillFromEnv sets fields without a flag from the environment, and returns the token.
func (s *submitCommand) fillFromEnv(con console) (string, error) {
	if len(s.entries) == 0 && con.env(entryEnvVar) != "" {
		s.entries = strings.Split(con.env(entryEnvVar), ",")
	}
	if s.workspace == "" {
		s.workspace = con.env(workspaceEnvVar)
	}
	switch {
	case len(s.entries) == 0:
		return "", usagef("no entry; give --entry http://ADDRESS:PORT or set %s", entryEnvVar)
	case s.workspace == "":
		return "", usagef("no workspace; give --workspace or set %s", workspaceEnvVar)
	case s.kind == "":
		return "", usagef("no kind of work; give --kind")
	case s.tokenFile == "":
		return con.env(tokenEnvVar), nil
	}
	data, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return "", usagef("--token-file: %v", err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (s *submitCommand) buildRequest(con console) (*callerv1.SubmitRequest, error) {
	request := &callerv1.SubmitRequest{
		Workspace:      s.workspace,
		Kind:           s.kind,
		IdempotencyKey: s.key,
		MaxTokens:      int32(s.maxTokens),
		Retry:          s.retry,
	}
	if s.key == "" {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		request.IdempotencyKey = key.String()
	}
	switch {
	case s.body != "" && s.prompt != "":
		return nil, usagef("a request has a prompt or a body, not both")
	case s.retry && s.key == "":
		return nil, usagef("--retry needs the --key of the first attempt")
	case s.body == "-":
		data, err := s.readInput(con)
		request.Body = data
		return request, err
	case s.body != "":
		request.Body = []byte(s.body)
		return request, nil
	case s.prompt != "" && s.file != "":
		return nil, usagef("give the prompt as an argument or with --file, not both")
	case s.prompt != "":
		request.Prompt = s.prompt
		return request, nil
	}
	data, err := s.readInput(con)
	request.Prompt = string(data)
	return request, err
}

// readInput reads the file of the --file flag, or standard input.
func (s *submitCommand) readInput(con console) ([]byte, error) {
	if s.file == "" || s.file == "-" {
		data, err := io.ReadAll(con.in)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(s.file)
	if err != nil {
		return nil, usagef("--file: %v", err)
	}
	return data, nil
}

func (s *submitCommand) clients() ([]callerv1connect.RouterServiceClient, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	if s.caFile != "" {
		roots, err := loadRoots(s.caFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	client := &http.Client{Transport: transport}
	var list []callerv1connect.RouterServiceClient
	for _, entry := range s.entries {
		base, err := parseBaseURL("--entry", entry)
		if err != nil {
			return nil, err
		}
		list = append(list, callerv1connect.NewRouterServiceClient(client, base, connect.WithReadMaxBytes(maxResponseBytes)))
	}
	return list, nil
}

// maxResponseBytes is the maximum size of one message from an entry.
const maxResponseBytes = 64 << 20

func loadRoots(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usagef("--ca: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, usagef("--ca: no certificate in %s", file)
	}
	return roots, nil
}
