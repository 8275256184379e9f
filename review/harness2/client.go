//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func get(url string) (int, string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// request is one attempt of a client.
type request struct {
	Gateway         *gateway
	Host, Path, Key string
	Prompt, Output  int64
	Plan            answerPlan
	Deadline        time.Duration
	Segment         string
	Plain           bool
	Method          string
}

// result is what the client saw.
type result struct {
	ID       string
	Gateway  string
	Status   int
	Seal     string
	Events   int
	Complete bool
	Body     string
	Sent     time.Time
	Took     time.Duration
	Err      error
	Prompt   int64
}

var requestNumber atomic.Int64

var epoch = time.Now().UnixNano()

func newID() string { return fmt.Sprintf("%08x%08x", uint32(epoch>>10), requestNumber.Add(1)) }

// send sends the request on a new connection and reads the answer.
func send(ctx context.Context, r request) (res result) {
	res = result{ID: newID(), Gateway: r.Gateway.name, Sent: time.Now(), Prompt: r.Prompt}
	defer func() { res.Took = time.Since(res.Sent) }()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", r.Gateway.front)
	if err != nil {
		res.Err = err
		return res
	}
	defer conn.Close()
	_ = conn.SetDeadline(res.Sent.Add(r.Deadline + 500*time.Millisecond))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b strings.Builder
	body, method := r.Plan.body(), r.Method
	if method == "" {
		method = http.MethodPost
	}
	if method == http.MethodGet {
		body = ""
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, r.Path, r.Host, res.ID, r.Deadline.Milliseconds(), r.Key)
	if !r.Plain {
		segment := r.Segment
		if segment == "" {
			segment = res.ID[8:]
		}
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: %s:%d\r\n", r.Prompt, r.Output, segment, r.Prompt)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		res.Err = err
		return res
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		res.Err = err
		return res
	}
	defer resp.Body.Close()
	res.Status, res.Seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	reader := bufio.NewReader(resp.Body)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(reader)
		res.Body, res.Complete, res.Err = string(data), err == nil, err
		return res
	}
	for {
		line, err := reader.ReadString('\n')
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if n, idErr := strconv.Atoi(strings.TrimSpace(id)); idErr == nil && n == res.Events+1 {
				res.Events = n
			}
		}
		if err != nil {
			res.Complete = err == io.EOF
			if !res.Complete {
				res.Err = err
			}
			return res
		}
	}
}

// recorder collects results.
type recorder struct {
	mu      sync.Mutex
	results []result
	running sync.WaitGroup
}

func (c *recorder) send(ctx context.Context, r request) {
	c.running.Go(func() {
		res := send(ctx, r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results = append(c.results, res)
	})
}

func (c *recorder) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}
