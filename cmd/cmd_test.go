package cmd

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/standin/platform"
)

// result holds the exit code and output of a command.
type result struct {
	code ExitCode
	out  string
	err  string
}

// execute runs a command line in the same way as Main.
func execute(t *testing.T, args ...string) result {
	t.Helper()
	return executeWith(t, "", args...)
}

func executeWith(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	con := console{
		in:  strings.NewReader(stdin),
		out: &out,
		err: &errs,
		env: func(string) string { return "" },
	}
	code := run(args, con, commands())
	return result{code: code, out: out.String(), err: errs.String()}
}

// want checks the exit code, and that the output contains all texts.
func (o result) want(t *testing.T, code ExitCode, texts ...string) {
	t.Helper()
	if o.code != code {
		t.Errorf("exit code %s, want %s", o.code, code)
	}
	for _, text := range texts {
		if !strings.Contains(o.out+o.err, text) {
			t.Errorf("no %q in the output", text)
		}
	}
	if t.Failed() {
		t.Logf("output:\n%s\nerrors:\n%s", o.out, o.err)
	}
}

// servePlatform starts an in-memory platform and returns its store and URL.
func servePlatform(t *testing.T) (*platform.Store, string) {
	t.Helper()
	store := platform.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, server.URL
}

// copyTables copies the tables of examples/demo, with all occurrences of old replaced.
func copyTables(t *testing.T, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"routes.yaml", "pools.yaml", "workspaces.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", "demo", "tables", name))
		if err != nil {
			t.Fatal(err)
		}
		data = bytes.ReplaceAll(data, []byte(old), []byte(replacement))
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

const demoTables = "../examples/demo/tables"

func TestNoCommand(t *testing.T) {
	execute(t).want(t, Usage, "--help")
}

func TestVersion(t *testing.T) {
	execute(t, "version").want(t, Succeeded, "crocusline", "go1.")
}

func TestCheckReportsEachInvalidFile(t *testing.T) {
	execute(t, "check", "--entry", "../examples/demo/entry-1.yaml", "--sidecar", "../examples/demo/model-1.yaml",
		"--tables", demoTables).want(t, Succeeded, "entry-1.yaml: ok", "tables: ok")
	invalid := copyTables(t, "pool: drafting", "pool: draughting")
	execute(t, "check", "--tables", invalid, "--entry", "../examples/demo/model-1.yaml").
		want(t, Usage, "routes.yaml:", `no pool is named "draughting"`, "model-1.yaml", "2 of 2 invalid")
	execute(t, "check").want(t, Usage, "nothing to check")
}

// TestCheckMemoryOfCalls guards against settings with which no call of the largest size is ever served.
func TestCheckMemoryOfCalls(t *testing.T) {
	text, err := os.ReadFile("../examples/demo/entry-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "entry.yaml")
	for bytes, valid := range map[int]bool{4 << 20: true, 16 << 20: false} {
		changed := strings.Replace(string(text), "caller:\n", fmt.Sprintf("caller:\n  bodyBytes: %d\n", bytes), 1)
		if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		if valid {
			execute(t, "check", "--entry", file).want(t, Succeeded, "ok")
		} else {
			execute(t, "check", "--entry", file).want(t, Usage, "caller.bodyBytes", "instance.memoryBytes")
		}
	}
}

func TestCerts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "certs")
	execute(t, "certs", "--address", "127.0.0.1", dir).want(t, Succeeded, "ca.pem")
	for _, name := range []string{"ca.pem", "peer.pem", "peer.key"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	execute(t, "certs", "--address", "localhost", dir).want(t, Usage, "localhost")
}
