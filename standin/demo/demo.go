// Package demo runs a small fleet as separate processes on loopback, sends it
// real work while an entry is killed, and checks the answers and the bills
// against what the stand-ins ran.
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
	// runTimeout bounds the whole demonstration.
	runTimeout = 55 * time.Second
	// topUpTokens is the budget of each workspace.
	topUpTokens = 20000
)

// Demo is one run.
type Demo struct {
	out io.Writer
	// bin holds the crocusline and crocusbench binaries.
	bin string
	// examples holds the settings, tables and work files.
	examples string
	// dir holds certificates and logs.
	dir     string
	cluster *cluster.Cluster
}

// New returns a run that prints to out.
func New(out io.Writer, bin, examples, dir string) *Demo {
	return &Demo{out: out, bin: bin, examples: examples, dir: dir}
}

// Run runs the demonstration. It returns an error when an answer, a bill or a
// budget is not what the stand-ins say it should be.
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
