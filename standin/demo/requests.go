package demo

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// killDelay is how long the entry serves before it is killed, so that
	// streams are under way.
	killDelay = 1500 * time.Millisecond
	// bookingKey is the idempotency key of the booking.
	bookingKey = "demo-booking-1"
)

// job is one request of the demonstration.
type job struct {
	name      string
	workspace string
	token     string
	kind      string
	file      string
	// maxTokens is the route's limit, with which the right answer is computed.
	maxTokens int
	entries   []string
}

// result is what the caller of a job saw.
type result struct {
	job
	prompt string
	answer string
	// stderr is what the command wrote beside the answer.
	stderr   string
	duration time.Duration
}

// jobs are sent at the same time. Those that start at entry-1 lose it.
func (d *Demo) jobs() []job {
	both := []string{entry1URL, entry2URL}
	return []job{
		{name: "urgent question", workspace: "clinics", token: "demo-clinics", kind: "answerDriver", file: "driver-question.txt", maxTokens: 200, entries: []string{entry2URL}},
		{name: "normal report", workspace: "clinics", token: "demo-clinics", kind: "draftReport", file: "cold-chain-report.txt", maxTokens: 400, entries: both},
		{name: "bulk summary", workspace: "stores", token: "demo-stores", kind: "summarisePlan", file: "supply-plan.txt", maxTokens: 600, entries: both},
	}
}

// runWork sends the jobs, kills entry-1 while their answers stream, and books
// twice with one key.
func (d *Demo) runWork(ctx context.Context) ([]result, error) {
	all := d.jobs()
	results := make([]result, len(all))
	failures := make([]error, len(all))
	var wg sync.WaitGroup
	for i, j := range all {
		wg.Go(func() { results[i], failures[i] = d.submit(ctx, j) })
	}
	booked, err := d.book(ctx, entry1URL)
	if err != nil {
		return nil, err
	}
	time.Sleep(killDelay)
	d.printf("killing entry-1 while it streams")
	if err := d.cluster.Kill("entry-1"); err != nil {
		return nil, err
	}
	again, err := d.book(ctx, entry2URL)
	if err != nil {
		return nil, err
	}
	if booked.answer != again.answer {
		return nil, errors.Errorf("the booking's retry got %q, the first try %q", again.answer, booked.answer)
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return append(results, booked, again), nil
}

func (d *Demo) book(ctx context.Context, entry string) (result, error) {
	j := job{name: "booking", workspace: "stores", token: "demo-stores", kind: "confirmDelivery", file: "delivery-confirmation.json", entries: []string{entry}}
	return d.submit(ctx, j, "--body", "-", "--key", bookingKey)
}

// submit sends one job with the command line.
func (d *Demo) submit(ctx context.Context, j job, more ...string) (result, error) {
	file := filepath.Join(d.examples, "work", j.file)
	prompt, err := os.ReadFile(file)
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	args := []string{"submit", "--workspace", j.workspace, "--kind", j.kind, "--file", file}
	for _, entry := range j.entries {
		args = append(args, "--entry", entry)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "crocusline"), append(args, more...)...)
	cmd.Env = append(os.Environ(), "CROCUSLINE_TOKEN="+j.token)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	started := time.Now()
	if err := cmd.Run(); err != nil {
		return result{}, errors.Wrapf(err, "%s: %s", j.name, bytes.TrimSpace(stderr.Bytes()))
	}
	return result{
		job:      j,
		prompt:   string(prompt),
		answer:   strings.TrimSuffix(stdout.String(), "\n"),
		stderr:   strings.TrimSpace(stderr.String()),
		duration: time.Since(started),
	}, nil
}
