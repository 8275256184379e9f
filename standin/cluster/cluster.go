// Package cluster runs crocusline and the stand-ins as separate processes on
// loopback, for the demonstration and for scenarios. It signals only processes
// that it started.
package cluster

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// pollInterval is the pause between two looks at a process that starts.
	pollInterval = 50 * time.Millisecond
	// stopTimeout is how long a process may take to end.
	stopTimeout = 15 * time.Second
	// callTimeout bounds one HTTP request to a process.
	callTimeout = 5 * time.Second
)

// Cluster holds the processes of one run.
type Cluster struct {
	// dir holds a log file for each process.
	dir  string
	http *http.Client

	mu        sync.Mutex
	processes map[string]*process
	started   int
}

// process is one process that the cluster started.
type process struct {
	cmd *exec.Cmd
	// number counts the processes started before.
	number int
	log    *os.File
	exited chan struct{}
	err    error
}

// New returns a cluster without processes that logs to the directory.
func New(dir string) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	return &Cluster{
		dir:       dir,
		http:      &http.Client{Timeout: callTimeout},
		processes: map[string]*process{},
	}, nil
}

// Start starts a process under a name that is not in use.
func (c *Cluster) Start(name, binary string, args ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, taken := c.processes[name]; taken {
		return errors.Errorf("process %s runs already", name)
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.WithStack(err)
	}
	cmd := exec.CommandContext(context.Background(), binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", name)
	}
	c.started++
	p := &process{cmd: cmd, number: c.started, log: log, exited: make(chan struct{})}
	c.processes[name] = p
	go p.wait()
	return nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.exited)
}

// Kill ends a process at once, as a crash would.
func (c *Cluster) Kill(name string) error {
	p, err := c.remove(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Kill(); err != nil {
		return errors.Wrapf(err, "kill %s", name)
	}
	<-p.exited
	return nil
}

// Stop asks a process to end and waits until it has.
func (c *Cluster) Stop(name string) error {
	p, err := c.remove(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "stop %s", name)
	}
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "%s ended", name)
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
		return errors.Errorf("%s did not end within %s", name, stopTimeout)
	}
}

// Pause stops a process from running until Resume.
func (c *Cluster) Pause(name string) error {
	return c.signal(name, syscall.SIGSTOP)
}

// Resume lets a paused process run on.
func (c *Cluster) Resume(name string) error {
	return c.signal(name, syscall.SIGCONT)
}

func (c *Cluster) signal(name string, sig syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.processes[name]
	if !ok {
		return errors.Errorf("no process %s", name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", name)
}

func (c *Cluster) remove(name string) (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.processes[name]
	if !ok {
		return nil, errors.Errorf("no process %s", name)
	}
	delete(c.processes, name)
	return p, nil
}

// Close ends all processes, the last started first, and waits for each. It
// returns the first failure.
func (c *Cluster) Close() error {
	var first error
	for {
		name, ok := c.lastStarted()
		if !ok {
			return first
		}
		if err := c.Stop(name); err != nil && first == nil {
			first = err
		}
	}
}

func (c *Cluster) lastStarted() (name string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, p := range c.processes {
		if !ok || p.number > c.processes[name].number {
			name, ok = n, true
		}
	}
	return name, ok
}

// AwaitOK waits until a URL answers with 200, or the process has ended.
func (c *Cluster) AwaitOK(ctx context.Context, name, url string) error {
	c.mu.Lock()
	p, ok := c.processes[name]
	c.mu.Unlock()
	if !ok {
		return errors.Errorf("no process %s", name)
	}
	for {
		status, _, err := c.Get(ctx, url)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-p.exited:
			return errors.Errorf("%s ended before it was ready: see its log", name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s at %s", name, url)
		case <-time.After(pollInterval):
		}
	}
}

// Get returns the status and body of a URL.
func (c *Cluster) Get(ctx context.Context, url string) (int, []byte, error) {
	return c.do(ctx, http.MethodGet, url, nil)
}

// Post sends a JSON body, such as a stand-in's faults.
func (c *Cluster) Post(ctx context.Context, url string, body io.Reader) (int, []byte, error) {
	return c.do(ctx, http.MethodPost, url, body)
}

func (c *Cluster) do(ctx context.Context, method, url string, body io.Reader) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, errors.WithStack(err)
}
