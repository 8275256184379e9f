package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

const sidecarYAML = `instance:
  name: model-1-sidecar
  region: qld-north
  failureDomain: cairns
  peerAddress: 127.0.0.1:7001
platform:
  url: http://127.0.0.1:7100
peer:
  listen: 127.0.0.1:7001
  certFile: peer.pem
  keyFile: peer.key
  caFile: ca.pem
operator:
  listen: 127.0.0.1:7002
server:
  name: model-1
  kind: model
  url: http://127.0.0.1:7003
  slots: 8
  grace: 30s
`

func load(t *testing.T, text string, role setting.Role) (*setting.Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return setting.Load(file, role)
}

func TestLoad(t *testing.T) {
	s, err := load(t, sidecarYAML, setting.Sidecar)
	if err != nil {
		t.Fatal(err)
	}
	if s.Server.Slots != 8 || s.Server.Grace.String() != "30s" || s.Peer.Listen.Port() != 7001 {
		t.Fatalf("settings %+v", s)
	}
	if s.Platform.ListInterval != setting.Default().Platform.ListInterval {
		t.Fatal("the default of platform.listInterval was not kept")
	}
}

func TestErrorsHaveLineAndKey(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		line                   int
		key, problem           string
	}{
		{"unknown key", "slots: 8", "slotz: 8", 19, "server.slotz", "unknown key"},
		{"bad address", "listen: 127.0.0.1:7001", "listen: localhost", 9, "peer.listen", "IP address with a port"},
		{"no failure domain", "  failureDomain: cairns\n", "", 1, "instance.failureDomain", `"" is not a name`},
		{"no unit", "grace: 30s", "grace: 30", 20, "server.grace", "a time with its unit"},
		{"wrong unit", "grace: 30s", "grace: 30 parsecs", 20, "server.grace", "a time with its unit"},
		{"not a number", "slots: 8", "slots: many", 19, "server.slots", "a whole number"},
		{"out of range", "slots: 8", "slots: 0", 19, "server.slots", "must be above 0"},
		{"unknown option", "kind: model", "kind: engine", 17, "server.kind", "not one of: model, plain"},
		{"host name", "url: http://127.0.0.1:7003", "url: http://engine:7003", 18, "server.url", "IP address"},
		{"missing address", "  listen: 127.0.0.1:7002\n", "", 13, "operator", "keys with values"},
		{"missing server", "server:", "policy:", 16, "policy.name", "unknown key"},
		{"duplicate key", "slots: 8", "kind: plain", 19, "", "already defined"},
		{"caller address of a sidecar", "server:", "caller:\n  listen: 127.0.0.1:1\nserver:", 16, "caller.listen", "entries"},
		{"checkpoint interval too long", "server:", "ledger:\n  checkpointInterval: 7h\nserver:", 16, "ledger.checkpointInterval", "quarter of platform.retention"},
		{"syntax", "server:", "server: [", 0, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, strings.Replace(sidecarYAML, c.old, c.replacement, 1), setting.Sidecar)
			var settingErr *setting.Error
			if !errors.As(err, &settingErr) {
				t.Fatalf("got %v", err)
			}
			if c.line != 0 && settingErr.Line != c.line || c.key != "" && settingErr.Key != c.key {
				t.Errorf("line %d, key %q in %v; want %d, %q", settingErr.Line, settingErr.Key, settingErr, c.line, c.key)
			}
			if !strings.Contains(settingErr.Problem, c.problem) || strings.Contains(settingErr.Error(), "\n") {
				t.Errorf("problem %q; want one line with %q", settingErr.Problem, c.problem)
			}
		})
	}
}

func TestEntryNeedsCallerAddress(t *testing.T) {
	text, _, _ := strings.Cut(sidecarYAML, "server:")
	_, err := load(t, text, setting.Entry)
	var settingErr *setting.Error
	if !errors.As(err, &settingErr) || settingErr.Key != "caller.listen" {
		t.Fatalf("got %v", err)
	}
}

func TestMissingFile(t *testing.T) {
	_, err := setting.Load("nowhere.yaml", setting.Entry)
	if err == nil || err.Error() != "nowhere.yaml: no such file or directory" {
		t.Fatalf("got %v", err)
	}
}

func TestPathsAreRelativeToTheFile(t *testing.T) {
	s, err := load(t, strings.Replace(sidecarYAML, "caFile: ca.pem", "caFile: /etc/ca.pem", 1), setting.Sidecar)
	if err != nil {
		t.Fatal(err)
	}
	if !filepath.IsAbs(s.Peer.CertFile) || filepath.Base(s.Peer.CertFile) != "peer.pem" || s.Peer.CAFile != "/etc/ca.pem" {
		t.Fatalf("peer %+v", s.Peer)
	}
}
