// Package demo runs a small fleet as separate processes on loopback, sends it
// requests while one entry is killed, and compares the responses and the billed
// tokens with what the simulated backend servers executed.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/standin/cluster"
)

const (
	// runTimeout is the timeout of the demonstration.
	runTimeout = 55 * time.Second
	// topUpTokens is the budget of each workspace, in tokens.
	topUpTokens = 20000
)

// Demo is a run of the demonstration.
type Demo struct {
	out io.Writer
	// bin is the directory of the crocusline and crocusbench binaries.
	bin string
	// examples is the directory of the settings, tables and request files.
	examples string
	// dir is the directory for certificates and logs.
	dir     string
	cluster *cluster.Cluster
}

// New returns a demonstration that prints to out.
func New(out io.Writer, bin, examples, dir string) *Demo {
	return &Demo{out: out, bin: bin, examples: examples, dir: dir}
}

// Run runs the demonstration. It returns an error if a response, a bill or a budget
// doesn't match what the simulated backend servers executed.
func (d *Demo) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := os.RemoveAll(filepath.Join(d.dir, "logs")); err != nil {
		return errors.WithStack(err)
	}
	if d.cluster, err = cluster.New(filepath.Join(d.dir, "logs")); err != nil {
		return err
	}
	defer func() {
		if closeErr := d.cluster.Close(); err == nil {
			err = closeErr
		}
	}()
	if err := d.startFleet(ctx); err != nil {
		return err
	}
	results, err := d.runWork(ctx)
	if err != nil {
		return err
	}
	return d.verify(ctx, results)
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format+"\n", args...)
}
