// Package cluster runs crocusline and the simulated systems as separate processes
// on loopback, for the demonstration and for the scenario tests. It signals only
// processes that it started.
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
	// pollInterval is the interval between two checks of a starting process.
	pollInterval = 50 * time.Millisecond
	// stopTimeout is how long a process may take to exit after SIGTERM.
	stopTimeout = 15 * time.Second
	// callTimeout is the timeout of an HTTP request to a process.
	callTimeout = 5 * time.Second
)

// Cluster manages a set of processes.
type Cluster struct {
	// dir is the directory of the log files, one per process.
	dir  string
	http *http.Client

	mu        sync.Mutex
	processes map[string]*process
	started   int
}

// process is a process that the cluster started.
type process struct {
	cmd *exec.Cmd
	// number is the process's position in the order of starts, from 1.
	number int
	log    *os.File
	exited chan struct{}
	err    error
}

// New returns a cluster without processes. The output of its processes is written
// to log files in dir.
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

// Start starts a process. The name must not be that of a running process.
func (c *Cluster) Start(name, binary string, args ...string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, taken := c.processes[name]; taken {
		return errors.Errorf("process %s is already running", name)
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

// Kill sends SIGKILL to a process, to simulate a crash, and waits until it has
// exited.
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

// Stop sends SIGTERM to a process and waits until it has exited. After stopTimeout
// it kills the process and returns an error.
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
		return errors.Wrapf(p.err, "%s exited", name)
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
		return errors.Errorf("%s did not exit within %s of SIGTERM", name, stopTimeout)
	}
}

// ID returns the id of a running process, 0 if there is none of the name.
func (c *Cluster) ID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.processes[name]
	if !ok {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// Pause suspends a process until Resume.
func (c *Cluster) Pause(name string) error {
	return c.signal(name, syscall.SIGSTOP)
}

// Resume continues a paused process.
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

// remove removes a process from the cluster and returns it. The caller has to end
// the process.
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

// Close stops all processes, in the reverse order of their start, and returns the
// first error.
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

// lastStarted returns the name of the process that was started last.
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

// AwaitOK waits until a URL returns status 200. It returns an error if the process
// exits first.
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
			return errors.Errorf("%s exited before it was ready: see its log", name)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s at %s", name, url)
		case <-time.After(pollInterval):
		}
	}
}

// Get sends a GET request and returns the status and body of the response.
func (c *Cluster) Get(ctx context.Context, url string) (int, []byte, error) {
	return c.do(ctx, http.MethodGet, url, nil)
}

// Post sends a JSON body, such as faults to inject, and returns the status and
// body of the response.
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
