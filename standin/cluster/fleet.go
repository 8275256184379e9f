package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"text/template"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/table"
)

// Fleet runs a simulated platform, simulated backend servers with their sidecars,
// and entry instances, each as a process. Their settings use free ports.
type Fleet struct {
	*Cluster
	spec  Spec
	bin   string
	dir   string
	ports map[string]int
}

// Spec is the composition of a fleet.
type Spec struct {
	// Entries is the number of entry instances.
	Entries int
	// Models is the number of model servers.
	Models int
	// Services is the number of plain services.
	Services int
	// EngineFlags are command-line flags of each simulated model engine.
	EngineFlags []string
	// Slots is how many requests a backend server executes concurrently.
	Slots int
	// LogLevel is the log level of the entries and sidecars.
	LogLevel string
	// EntryMemoryBytes is the memory of an entry by its settings. 0 stands for the default.
	EntryMemoryBytes int64
	// TLS is whether entries serve callers over TLS.
	TLS bool
}

// The workspace in the tables of a fleet, and its token.
const (
	Workspace = "clinics"
	Token     = "fleet-token"
)

// Shards is the number of ledger shards of a fleet.
const Shards = 4

// NewFleet writes the settings and tables of a fleet to dir. The binaries are
// taken from bin. It starts no process.
func NewFleet(bin, dir string, spec Spec) (*Fleet, error) {
	c, err := New(filepath.Join(dir, "logs"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: c, spec: spec, bin: bin, dir: dir, ports: map[string]int{}}
	if err := f.assignPorts(); err != nil {
		return nil, err
	}
	return f, f.writeFiles()
}

// EntryNames returns the process names of the entries.
func (f *Fleet) EntryNames() []string { return numbered("entry", f.spec.Entries) }

// ModelNames returns the names of the model servers.
func (f *Fleet) ModelNames() []string { return numbered("model", f.spec.Models) }

// ServiceNames returns the names of the plain services.
func (f *Fleet) ServiceNames() []string { return numbered("booking", f.spec.Services) }

// SidecarName returns the process name of a backend server's sidecar.
func SidecarName(server string) string { return server + "-sidecar" }

func (f *Fleet) servers() []string {
	return append(f.ModelNames(), f.ServiceNames()...)
}

func numbered(name string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s-%d", name, i+1))
	}
	return names
}

// URL returns the base URL of a simulated system, or of an entry's caller listener.
func (f *Fleet) URL(name string) string {
	scheme := "http"
	if f.spec.TLS && f.isEntry(name) {
		scheme = "https"
	}
	return fmt.Sprintf("%s://127.0.0.1:%d", scheme, f.ports[name])
}

func (f *Fleet) isEntry(name string) bool { return slices.Contains(f.EntryNames(), name) }

// CAFile returns the file with the authority of the entries' certificates.
func (f *Fleet) CAFile() string { return filepath.Join(f.dir, "certs", "ca.pem") }

// OperatorURL returns the base URL of a process's operator listener.
func (f *Fleet) OperatorURL(name string) string {
	return fmt.Sprintf("http://127.0.0.1:%d", f.ports[name+" operator"])
}

// assignPorts finds a free port for each listener.
func (f *Fleet) assignPorts() error {
	names := append([]string{"platform"}, f.servers()...)
	for _, entry := range f.EntryNames() {
		names = append(names, entry, entry+" peer", entry+" operator")
	}
	for _, server := range f.servers() {
		names = append(names, SidecarName(server)+" peer", SidecarName(server)+" operator")
	}
	for _, name := range names {
		port, err := freePort()
		if err != nil {
			return err
		}
		f.ports[name] = port
	}
	return nil
}

// settingsTemplate is the settings of an entry or a sidecar.
const settingsTemplate = `instance:
  name: {{.Name}}
  region: local
  failureDomain: domain-1
  peerAddress: 127.0.0.1:{{.Peer}}
{{- if .MemoryBytes}}
  memoryBytes: {{.MemoryBytes}}
{{- end}}
platform:
  url: http://127.0.0.1:{{.Platform}}
{{- if .Caller}}
caller:
  listen: 127.0.0.1:{{.Caller}}
  streamsPerWorkspace: 100000
{{- if .TLS}}
  certFile: certs/peer.pem
  keyFile: certs/peer.key
{{- end}}
{{- end}}
peer:
  listen: 127.0.0.1:{{.Peer}}
  certFile: certs/peer.pem
  keyFile: certs/peer.key
  caFile: certs/ca.pem
operator:
  listen: 127.0.0.1:{{.Operator}}
{{- if .Server}}
server:
  name: {{.Server}}
  kind: {{.Kind}}
  url: http://127.0.0.1:{{.Backend}}
  slots: {{.Slots}}
  queueLength: 1000
{{- end}}
ledger:
  shards: {{.Shards}}
log:
  level: {{.LogLevel}}
`

// processValues are the parameters of settingsTemplate.
type processValues struct {
	Name, Server, Kind, LogLevel              string
	Platform, Caller, Peer, Operator, Backend int
	Slots, Shards                             int
	MemoryBytes                               int64
	TLS                                       bool
}

func (f *Fleet) writeFiles() error {
	t, err := template.New("settings").Parse(settingsTemplate)
	if err != nil {
		return errors.WithStack(err)
	}
	for _, entry := range f.EntryNames() {
		v := f.settingsValues(entry)
		v.Caller, v.MemoryBytes = f.ports[entry], f.spec.EntryMemoryBytes
		if err := f.writeSettings(t, v); err != nil {
			return err
		}
	}
	for _, server := range f.servers() {
		v := f.settingsValues(SidecarName(server))
		v.Server, v.Kind, v.Backend = server, "model", f.ports[server]
		if f.isService(server) {
			v.Kind = "plain"
		}
		if err := f.writeSettings(t, v); err != nil {
			return err
		}
	}
	return f.WriteTables(1)
}

func (f *Fleet) isService(server string) bool {
	for _, name := range f.ServiceNames() {
		if name == server {
			return true
		}
	}
	return false
}

func (f *Fleet) settingsValues(name string) processValues {
	return processValues{
		Name:     name,
		LogLevel: f.spec.LogLevel,
		Platform: f.ports["platform"],
		Peer:     f.ports[name+" peer"],
		Operator: f.ports[name+" operator"],
		Slots:    f.spec.Slots,
		Shards:   Shards,
		TLS:      f.spec.TLS,
	}
}

func (f *Fleet) writeSettings(t *template.Template, v processValues) error {
	var text bytes.Buffer
	if err := t.Execute(&text, v); err != nil {
		return errors.WithStack(err)
	}
	return writeFile(f.settingsPath(v.Name), text.String())
}

func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.dir, name+".yaml")
}

// Tables returns the directory of the operator's tables.
func (f *Fleet) Tables() string {
	return filepath.Join(f.dir, "tables")
}

// WriteTables writes the tables, with the given weight of the workspace.
func (f *Fleet) WriteTables(weight int) error {
	pools := "pools:\n" + poolYAML("models", "model", f.ModelNames()) + poolYAML("services", "plain", f.ServiceNames())
	routes := "routes:\n"
	if f.spec.Models > 0 {
		for _, r := range [][2]string{{"ask", "urgent"}, {"draft", "normal"}, {"summarise", "bulk"}} {
			routes += fmt.Sprintf("  %s:\n    pool: models\n    rank: %s\n    idempotent: true\n    maxTokens: 4000\n    timeout: 2m\n    share: 1\n", r[0], r[1])
		}
	}
	if f.spec.Services > 0 {
		routes += "  book:\n    pool: services\n    rank: urgent\n    price: 20\n    timeout: 10s\n"
	}
	workspaces := fmt.Sprintf("workspaces:\n  %s:\n    tokens: [%s]\n    weight: %d\n", Workspace, table.HashToken(Token), weight)
	for name, text := range map[string]string{"pools.yaml": pools, "routes.yaml": routes, "workspaces.yaml": workspaces} {
		if err := writeFile(filepath.Join(f.Tables(), name), text); err != nil {
			return err
		}
	}
	return nil
}

func poolYAML(name, kind string, servers []string) string {
	if len(servers) == 0 {
		return ""
	}
	text := fmt.Sprintf("  %s:\n    kind: %s\n    servers:\n", name, kind)
	for _, s := range servers {
		text += "      - " + s + "\n"
	}
	return text
}

func writeFile(name, text string) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(name, []byte(text), 0o600))
}

// StartAll starts all processes, publishes the tables and adds tokens to the
// workspace's budget. It returns when all processes are ready.
func (f *Fleet) StartAll(ctx context.Context, tokens int) error {
	if _, err := f.RunCommand(ctx, "certs", "--address", "127.0.0.1", filepath.Join(f.dir, "certs")); err != nil {
		return err
	}
	if err := f.startStandIns(ctx); err != nil {
		return err
	}
	for _, server := range f.servers() {
		if err := f.StartSidecar(SidecarName(server)); err != nil {
			return err
		}
	}
	for _, entry := range f.EntryNames() {
		if err := f.StartEntry(entry); err != nil {
			return err
		}
	}
	if _, err := f.RunCommand(ctx, "publish", "--platform", f.URL("platform"), f.Tables()); err != nil {
		return err
	}
	if err := f.TopUp(ctx, "start", tokens); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	if err := f.startStandIn("platform", "platform"); err != nil {
		return err
	}
	for _, model := range f.ModelNames() {
		if err := f.startStandIn(model, "engine", f.spec.EngineFlags...); err != nil {
			return err
		}
	}
	for _, s := range f.ServiceNames() {
		if err := f.startStandIn(s, "service"); err != nil {
			return err
		}
	}
	return f.AwaitOK(ctx, "platform", f.URL("platform")+"/healthz")
}

func (f *Fleet) startStandIn(name, kind string, flags ...string) error {
	args := append([]string{kind, "--listen", fmt.Sprintf("127.0.0.1:%d", f.ports[name])}, flags...)
	return f.Start(name, filepath.Join(f.bin, "crocusbench"), args...)
}

// StartSidecar starts the sidecar with the process name.
func (f *Fleet) StartSidecar(name string) error {
	return f.Start(name, filepath.Join(f.bin, "crocusline"), "sidecar", "--settings", f.settingsPath(name))
}

// StartEntry starts an entry.
func (f *Fleet) StartEntry(name string) error {
	return f.Start(name, filepath.Join(f.bin, "crocusline"), "entry", "--settings", f.settingsPath(name))
}

// AwaitReady waits until a process reports that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context, name string) error {
	return f.AwaitOK(ctx, name, f.OperatorURL(name)+"/readyz")
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, server := range f.servers() {
		if err := f.AwaitReady(ctx, SidecarName(server)); err != nil {
			return err
		}
	}
	for _, entry := range f.EntryNames() {
		if err := f.AwaitReady(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// TopUp adds tokens to the workspace's budget. A repeated id has no effect.
func (f *Fleet) TopUp(ctx context.Context, id string, tokens int) error {
	_, err := f.RunCommand(ctx, "topup", "--platform", f.URL("platform"), "--shards", fmt.Sprint(Shards),
		"--id", id, Workspace, fmt.Sprint(tokens))
	return err
}

// SetFaults sets the faults of a simulated system, given as a JSON object.
func (f *Fleet) SetFaults(ctx context.Context, name, faults string) error {
	status, body, err := f.Post(ctx, f.URL(name)+"/faults", bytes.NewBufferString(faults))
	if err == nil && status != http.StatusOK && status != http.StatusNoContent {
		err = errors.Errorf("set faults of %s: status %d: %s", name, status, body)
	}
	return err
}

// RunCommand runs a crocusline command and returns its standard output.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "crocusline"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", errors.Wrapf(err, "crocusline %s: %s", args[0], bytes.TrimSpace(stderr.Bytes()))
	}
	return stdout.String(), nil
}
