package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/cluster"
)

// The ports of the measured processes.
const (
	platformPort        = 18000
	enginePort          = 18301
	entryCallerPort     = 18101
	entryPeerPort       = 18102
	entryOperatorPort   = 18103
	sidecarPeerPort     = 18302
	sidecarOperatorPort = 18303
)

const (
	startTimeout  = 20 * time.Second
	workspaceName = "measured"
	token         = "measured-token"
)

// processes is an entry and a sidecar before one engine.
type processes struct {
	bin     string
	dir     string
	cluster *cluster.Cluster
	// resident is resident memory by open streams and operator port.
	resident map[int]map[int]float64
}

// startProcesses starts them and publishes tables and a budget.
func startProcesses(ctx context.Context, bin, dir string) (*processes, error) {
	c, err := cluster.New(filepath.Join(dir, "logs"))
	if err != nil {
		return nil, err
	}
	p := &processes{bin: bin, dir: dir, cluster: c, resident: map[int]map[int]float64{}}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.start(ctx); err != nil {
		return nil, errors.Wrap(errors.WithMessage(err, closeError(c)), "start the measured processes")
	}
	return p, nil
}

func closeError(c *cluster.Cluster) string {
	if err := c.Close(); err != nil {
		return err.Error()
	}
	return ""
}

func (p *processes) start(ctx context.Context) error {
	if err := p.crocusline(ctx, "certs", "--address", "127.0.0.1", filepath.Join(p.dir, "certs")); err != nil {
		return err
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	bench, binary := filepath.Join(p.bin, "crocusbench"), filepath.Join(p.bin, "crocusline")
	starts := [][]string{
		{"platform", bench, "platform", "--listen", address(platformPort)},
		{"engine", bench, "engine", "--listen", address(enginePort), "--slots", "1000", "--token-interval", "20ms", "--cache-tokens", "1000000"},
		{"sidecar", binary, "sidecar", "--settings", filepath.Join(p.dir, "sidecar.yaml")},
		{"entry", binary, "entry", "--settings", filepath.Join(p.dir, "entry.yaml")},
	}
	for _, s := range starts {
		if err := p.cluster.Start(s[0], s[1], s[2:]...); err != nil {
			return err
		}
	}
	if err := p.cluster.AwaitOK(ctx, "platform", "http://"+address(platformPort)+"/healthz"); err != nil {
		return err
	}
	if err := p.publish(ctx); err != nil {
		return err
	}
	if err := p.cluster.AwaitOK(ctx, "sidecar", "http://"+address(sidecarOperatorPort)+"/readyz"); err != nil {
		return err
	}
	return p.cluster.AwaitOK(ctx, "entry", "http://"+address(entryOperatorPort)+"/readyz")
}

func (p *processes) publish(ctx context.Context) error {
	platform := "http://" + address(platformPort)
	if err := p.crocusline(ctx, "publish", "--platform", platform, filepath.Join(p.dir, "tables")); err != nil {
		return err
	}
	return p.crocusline(ctx, "topup", "--platform", platform, "--shards", "4", "--id", "capacity", workspaceName, "1000000000")
}

func (p *processes) crocusline(ctx context.Context, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(p.bin, "crocusline"), args...)
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "crocusline %s: %s", args[0], bytes.TrimSpace(out))
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// settingsTemplate is the settings of either process.
const settingsTemplate = `instance:
  name: {{.Name}}
  region: local
  failureDomain: domain-1
  peerAddress: 127.0.0.1:{{.Peer}}
platform:
  url: http://127.0.0.1:{{.Platform}}
{{- if .Caller}}
caller:
  listen: 127.0.0.1:{{.Caller}}
  streamsPerWorkspace: 100000
{{- end}}
peer:
  listen: 127.0.0.1:{{.Peer}}
  certFile: certs/peer.pem
  keyFile: certs/peer.key
  caFile: certs/ca.pem
operator:
  listen: 127.0.0.1:{{.Operator}}
{{- if .Engine}}
server:
  name: model-1
  kind: model
  url: http://127.0.0.1:{{.Engine}}
  slots: 1000
  queueLength: 1000
{{- end}}
ledger:
  shards: 4
log:
  level: info
`

type settingsValues struct {
	Name                                     string
	Platform, Caller, Peer, Operator, Engine int
}

func (p *processes) writeSettings() error {
	t, err := template.New("settings").Parse(settingsTemplate)
	if err != nil {
		return errors.WithStack(err)
	}
	files := map[string]settingsValues{
		"entry.yaml":   {"entry-1", platformPort, entryCallerPort, entryPeerPort, entryOperatorPort, 0},
		"sidecar.yaml": {"model-1-sidecar", platformPort, 0, sidecarPeerPort, sidecarOperatorPort, enginePort},
	}
	for name, values := range files {
		var text bytes.Buffer
		if err := t.Execute(&text, values); err != nil {
			return errors.WithStack(err)
		}
		if err := writeFile(filepath.Join(p.dir, name), text.String()); err != nil {
			return err
		}
	}
	return p.writeTables()
}

func (p *processes) writeTables() error {
	files := map[string]string{
		"pools.yaml":      "pools:\n  models:\n    kind: model\n    servers: [model-1]\n",
		"routes.yaml":     "routes:\n  draft:\n    pool: models\n    rank: normal\n    idempotent: true\n    maxTokens: 4000\n    timeout: 2m\n    share: 1\n",
		"workspaces.yaml": fmt.Sprintf("workspaces:\n  %s:\n    tokens: [%s]\n    weight: 1\n", workspaceName, tokenHash()),
	}
	for name, text := range files {
		if err := writeFile(filepath.Join(p.dir, "tables", name), text); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(name, text string) error {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(name, []byte(text), 0o600))
}

// usage is what a process reports of itself.
type usage struct {
	// cpu is processor time in seconds.
	cpu float64
	// resident is resident memory in bytes.
	resident float64
	// traffic is what it read and wrote over TCP and files, in bytes.
	traffic float64
}

// usageOf reads a process's metrics.
func (p *processes) usageOf(ctx context.Context, operatorPort int) (usage, error) {
	_, body, err := p.cluster.Get(ctx, "http://"+address(operatorPort)+"/metrics")
	if err != nil {
		return usage{}, err
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = number
		}
	}
	return usage{
		cpu:      values["process_cpu_seconds_total"],
		resident: values["process_resident_memory_bytes"],
		traffic:  values["process_io_read_bytes_total"] + values["process_io_written_bytes_total"],
	}, nil
}
