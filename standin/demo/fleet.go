package demo

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Addresses in the settings under examples/demo.
const (
	platformAddress   = "127.0.0.1:17000"
	serviceAddress    = "127.0.0.1:17601"
	entry1URL         = "http://127.0.0.1:17101"
	entry2URL         = "http://127.0.0.1:17201"
	entry2OperatorURL = "http://127.0.0.1:17203"
)

// engineAddresses are the addresses of the model servers by name.
var engineAddresses = map[string]string{
	"model-1": "127.0.0.1:17301",
	"model-2": "127.0.0.1:17401",
	"model-3": "127.0.0.1:17501",
}

// operatorPorts are the operator ports of the sidecars and entries by process name.
var operatorPorts = map[string]int{
	"model-1":   17303,
	"model-2":   17403,
	"model-3":   17503,
	"booking-1": 17603,
	"entry-1":   17103,
	"entry-2":   17203,
}

// startFleet starts all processes, publishes the tables and tops up the budgets.
func (d *Demo) startFleet(ctx context.Context) error {
	if _, err := d.crocusline(ctx, "certs", "--address", "127.0.0.1", filepath.Join(d.dir, "certs")); err != nil {
		return err
	}
	if err := d.startStandIns(ctx); err != nil {
		return err
	}
	if err := d.startProcesses(); err != nil {
		return err
	}
	platform := "http://" + platformAddress
	if _, err := d.crocusline(ctx, "publish", "--platform", platform, "--wait", "10s", filepath.Join(d.examples, "tables")); err != nil {
		return err
	}
	for _, workspace := range []string{"clinics", "stores"} {
		if _, err := d.crocusline(ctx, "topup", "--platform", platform, "--shards", "4", "--id", "demo-"+workspace, workspace, fmt.Sprint(topUpTokens)); err != nil {
			return err
		}
	}
	for name, port := range operatorPorts {
		if err := d.cluster.AwaitOK(ctx, name, fmt.Sprintf("http://127.0.0.1:%d/readyz", port)); err != nil {
			return err
		}
	}
	d.printf("%d processes run: the platform, 3 model servers, 1 booking service, 4 sidecars, 2 entries", len(engineAddresses)+2+len(operatorPorts))
	return nil
}

func (d *Demo) startStandIns(ctx context.Context) error {
	bench := filepath.Join(d.bin, "crocusbench")
	if err := d.cluster.Start("platform", bench, "platform", "--listen", platformAddress); err != nil {
		return err
	}
	for name, address := range engineAddresses {
		if err := d.cluster.Start("engine-"+name, bench, "engine", "--listen", address); err != nil {
			return err
		}
	}
	if err := d.cluster.Start("service", bench, "service", "--listen", serviceAddress); err != nil {
		return err
	}
	return d.cluster.AwaitOK(ctx, "platform", "http://"+platformAddress+"/healthz")
}

func (d *Demo) startProcesses() error {
	binary := filepath.Join(d.bin, "crocusline")
	for name := range operatorPorts {
		role := "sidecar"
		if name == "entry-1" || name == "entry-2" {
			role = "entry"
		}
		if err := d.cluster.Start(name, binary, role, "--settings", filepath.Join(d.examples, name+".yaml")); err != nil {
			return err
		}
	}
	return nil
}

// crocusline runs a crocusline command and returns its standard output.
func (d *Demo) crocusline(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "crocusline"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", errors.Wrapf(err, "crocusline %s: %s", args[0], bytes.TrimSpace(stderr.Bytes()))
	}
	return stdout.String(), nil
}
