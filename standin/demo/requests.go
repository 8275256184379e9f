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
	// killDelay is the time from the first requests to the kill of an entry, so
	// that responses are being streamed at that moment.
	killDelay = 1500 * time.Millisecond
	// bookingKey is the idempotency key of the booking.
	bookingKey = "demo-booking-1"
)

// job is a request of the demonstration.
type job struct {
	name      string
	workspace string
	token     string
	kind      string
	file      string
	// maxTokens is the route's limit, from which the expected response is
	// computed. 0 skips this comparison.
	maxTokens int
	// entries are the URLs of the entries to use, in order of preference.
	entries []string
}

// result is the outcome of a job.
type result struct {
	job
	prompt string
	// response is the standard output of the submit command.
	response string
	// stderr is the standard error of the submit command.
	stderr   string
	duration time.Duration
}

// jobs returns the jobs to send concurrently. Those that start at entry-1 have to
// continue at entry-2 after the kill.
func (d *Demo) jobs() []job {
	both := []string{entry1URL, entry2URL}
	return []job{
		{name: "urgent question", workspace: "clinics", token: "demo-clinics", kind: "answerDriver", file: "driver-question.txt", maxTokens: 200, entries: []string{entry2URL}},
		{name: "normal report", workspace: "clinics", token: "demo-clinics", kind: "draftReport", file: "cold-chain-report.txt", maxTokens: 400, entries: both},
		{name: "bulk summary", workspace: "stores", token: "demo-stores", kind: "summarisePlan", file: "supply-plan.txt", maxTokens: 600, entries: both},
	}
}

// runWork sends the jobs and kills entry-1 while their responses are streamed. It
// sends the booking before and after the kill, with the same idempotency key.
func (d *Demo) runWork(ctx context.Context) ([]result, error) {
	jobs := d.jobs()
	results := make([]result, len(jobs))
	errs := make([]error, len(jobs))
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() { results[i], errs[i] = d.submit(ctx, j) })
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
	retried, err := d.book(ctx, entry2URL)
	if err != nil {
		return nil, err
	}
	if booked.response != retried.response {
		return nil, errors.Errorf("the retried booking returned %q, the first attempt %q", retried.response, booked.response)
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return append(results, booked, retried), nil
}

// book sends the booking to one entry.
func (d *Demo) book(ctx context.Context, entry string) (result, error) {
	j := job{name: "booking", workspace: "stores", token: "demo-stores", kind: "confirmDelivery", file: "delivery-confirmation.json", entries: []string{entry}}
	return d.submit(ctx, j, "--body", "-", "--key", bookingKey)
}

// submit sends a job with the submit command.
func (d *Demo) submit(ctx context.Context, j job, extraArgs ...string) (result, error) {
	file := filepath.Join(d.examples, "work", j.file)
	prompt, err := os.ReadFile(file)
	if err != nil {
		return result{}, errors.WithStack(err)
	}
	args := []string{"submit", "--workspace", j.workspace, "--kind", j.kind, "--file", file}
	for _, entry := range j.entries {
		args = append(args, "--entry", entry)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "crocusline"), append(args, extraArgs...)...)
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
		response: strings.TrimSuffix(stdout.String(), "\n"),
		stderr:   strings.TrimSpace(stderr.String()),
		duration: time.Since(started),
	}, nil
}
