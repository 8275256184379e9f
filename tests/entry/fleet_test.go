// Package entry_test runs an entry as a separate process and checks that it stays within the limits of its settings
// and serves ordinary callers, whatever others send.
package entry_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/crocusline/crocusline/modules/wire/caller/v1"
	"github.com/crocusline/crocusline/modules/wire/caller/v1/callerv1connect"
	"github.com/crocusline/crocusline/standin/cluster"
)

const (
	entryName = "entry-1"
	// startTimeout bounds the start of all processes, and recoveryTimeout the time until an entry serves
	// an ordinary request. They are limits of the test, not guarantees of the product.
	startTimeout    = time.Minute
	recoveryTimeout = 30 * time.Second
	// retryInterval is the time between two attempts of an ordinary request.
	retryInterval = 100 * time.Millisecond
	// budgetTokens is enough for the requests of all crowds.
	budgetTokens = 2_000_000_000
	slots        = 1000
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries into a temporary directory and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crocusline")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	cmd := exec.CommandContext(context.Background(), "go", "build", "-o", dir+"/", "../..", "../../crocusbench")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// fleet is an entry with a model server and a plain service.
type fleet struct {
	*cluster.Fleet
	probes int
}

// newFleet starts a fleet and stops it at the end of the test.
func newFleet(t *testing.T, overTLS bool) *fleet {
	t.Helper()
	spec := cluster.Spec{
		TLS: overTLS, Entries: 1, Models: 1, Services: 1, Slots: slots, LogLevel: "warn",
		EngineFlags: []string{"--slots", fmt.Sprint(slots), "--token-interval", "1ms", "--prefill-speed", "10000000"},
	}
	c, err := cluster.NewFleet(binDir, t.TempDir(), spec)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{Fleet: c}
	t.Cleanup(func() { f.end(t) })
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := f.StartAll(ctx, budgetTokens); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fleet) end(t *testing.T) {
	// A graceful stop would wait for the calls that the crowds left.
	for _, name := range append(f.EntryNames(), cluster.SidecarName("model-1"), cluster.SidecarName("booking-1")) {
		if err := f.Kill(name); err != nil {
			t.Error(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// restartEntry replaces the entry's process.
func (f *fleet) restartEntry(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := f.Kill(entryName); err != nil {
		t.Fatal(err)
	}
	if err := f.StartEntry(entryName); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, entryName); err != nil {
		t.Fatal(err)
	}
}

// requireService fails the test unless an ordinary request of each kind is served.
func (f *fleet) requireService(t *testing.T, when string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: f.tlsConfig(t), ForceAttemptHTTP2: true}}
	defer client.CloseIdleConnections()
	caller := callerv1connect.NewRouterServiceClient(client, f.URL(entryName))
	for _, kind := range []string{"draft", "book"} {
		f.probes++
		message := &callerv1.SubmitRequest{Workspace: cluster.Workspace, Kind: kind, IdempotencyKey: fmt.Sprintf("probe-%d", f.probes)}
		if kind == "book" {
			message.Body = []byte("{}")
		} else {
			message.Prompt, message.MaxTokens = "Where do I unload?", 3
		}
		end := time.Now().Add(recoveryTimeout)
		for {
			err := call(t.Context(), caller, message)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("the entry does not serve %s %s: %v", kind, when, err)
			}
			message.Retry = true
			time.Sleep(retryInterval)
		}
	}
}

// tlsConfig returns the configuration of callers over TLS, nil if the entry doesn't use it.
func (f *fleet) tlsConfig(t *testing.T) *tls.Config {
	t.Helper()
	if !strings.HasPrefix(f.URL(entryName), "https") {
		return nil
	}
	authority, err := os.ReadFile(f.CAFile())
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"}
}

func call(ctx context.Context, caller callerv1connect.RouterServiceClient, message *callerv1.SubmitRequest) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	request := connect.NewRequest(&callerv1.CallRequest{Request: message})
	request.Header().Set("Authorization", "Bearer "+cluster.Token)
	_, err := caller.Call(ctx, request)
	return err
}
