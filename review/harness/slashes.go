//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// post sends a request, with its target as it is, and returns what comes back.
func post(address, target, id string) (status int, seal string, complete bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := "entry " + id
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		target, host, id, apiKey, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Response-Seal"), err == nil
}

const slashesLength = 6 * time.Second

// playSlashes sends requests whose path begins with two slashes, which the route with the
// prefix "/" selects, and compares the request lines that the servers get.
func playSlashes(w *world) ([]string, error) {
	prefix := "/"
	if w.trouble {
		prefix = "//"
	}
	sent := map[string]string{}
	end := time.Now().Add(slashesLength)
	for n := 0; time.Now().Before(end); n++ {
		o := outcome{id: fmt.Sprintf("%016x", n), route: "root", sent: time.Now()}
		target := fmt.Sprintf("%s2f/%d?n=%d", prefix, n, n)
		sent[o.id] = http.MethodPost + " " + target
		o.status, o.seal, o.complete = post(w.gateways[n%gatewayCount].front, target, o.id)
		o.ended = time.Now()
		w.mu.Lock()
		w.outcomes = append(w.outcomes, o)
		w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	ran := 0
	for _, a := range w.arrivals {
		if !a.ran {
			continue
		}
		ran++
		if a.line != sent[a.id] {
			broken = append(broken, fmt.Sprintf("request %s: the client sent %q, server %s ran %q", a.id, sent[a.id], a.server, a.line))
		}
	}
	if ran == 0 {
		return nil, fmt.Errorf("no request ran: %w", errNotRun)
	}
	return broken, nil
}
