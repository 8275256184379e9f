package faults_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/crocusline/crocusline/standin/site"
	"github.com/crocusline/crocusline/tests/knownred"
)

// plannedStopRequest returns a request that runs once, with five seconds of time.
func plannedStopRequest(id string) string {
	return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody",
		host, id, apiKey)
}

// TestRequestsCutAtTheEndOfAPlannedStop guards against requests that come late in the grace period, on
// connections that were open before, and are sent to a server only to be cut at its end. Requests under
// way at the end must get an answer.
func TestRequestsCutAtTheEndOfAPlannedStop(t *testing.T) {
	const (
		grace   = gracePeriodSeconds * time.Second
		earlyAt = grace / 2
		lateAt  = grace * 13 / 20
	)
	f := newFleet(t, buildBinary(t), 1, serverCount)
	requireService(t, f, "before SIGTERM")
	for _, s := range f.servers {
		s.Behave(site.Hang)
	}
	g := f.gateways[0]
	conns := map[string]net.Conn{}
	for _, id := range []string{"early", "late"} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", g.callerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns[id] = conn
	}
	start := time.Now()
	g.signal(syscall.SIGTERM)
	status := func(id string, at time.Duration) int {
		time.Sleep(time.Until(start.Add(at)))
		conn := conns[id]
		if _, err := conn.Write([]byte(plannedStopRequest(id))); err != nil {
			t.Errorf("%s: %v", id, err)
			return 0
		}
		if err := conn.SetReadDeadline(start.Add(grace + time.Second)); err != nil {
			t.Error(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Logf("%s: %v after %s", id, err, time.Since(start))
			return 0
		}
		_ = resp.Body.Close()
		t.Logf("%s: %d after %s", id, resp.StatusCode, time.Since(start))
		return resp.StatusCode
	}
	early := make(chan int, 1)
	go func() { early <- status("early", earlyAt) }()
	late := status("late", lateAt)
	if _, sent := f.received("late"); sent || late != http.StatusServiceUnavailable {
		t.Errorf("the late request got status %d, reached a server: %t", late, sent)
	}
	if got := <-early; got != http.StatusGatewayTimeout && got != http.StatusBadGateway {
		t.Errorf("the request under way at the end got status %d", got)
	}
	if ended := time.Since(start); ended < grace*3/4 {
		t.Errorf("requests were given up after %s of %s", ended, grace)
	}
	if !g.waitExit(time.Until(start.Add(grace))) {
		t.Errorf("the process runs longer than %s", grace)
	}
}

// TestStreamCutBeforeTheEndOfAPlannedStop guards against streams that are broken off by a planned stop
// while their servers are at work, earlier than in the last sixth of the grace period.
func TestStreamCutBeforeTheEndOfAPlannedStop(t *testing.T) {
	const (
		grace  = gracePeriodSeconds * time.Second
		sentAt = grace / 2
	)
	f := newFleet(t, buildBinary(t), 1, serverCount)
	requireService(t, f, "before SIGTERM")
	for _, s := range f.servers {
		s.Behave(site.SlowEvents)
	}
	g := f.gateways[0]
	start := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(start.Add(sentAt)))
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", g.callerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: slow\r\nAuthorization: Token %s\r\nModel: m\r\nToken-Usage: %d,%d\r\nDeadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody",
		host, apiKey, promptTokens, outputTokens)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	ended := time.Since(start)
	_ = resp.Body.Close()
	t.Logf("status %d, %d bytes, then %v after %s", resp.StatusCode, len(body), err, ended)
	problem := ""
	if resp.StatusCode != http.StatusOK || err == nil || ended < grace*5/6 {
		problem = fmt.Sprintf("the stream ended after %s of %s with status %d, error %v", ended, grace, resp.StatusCode, err)
	}
	if !g.waitExit(time.Until(start.Add(grace))) {
		t.Errorf("the process runs longer than %s", grace)
	}
	knownred.Report(t, problem)
}

// TestProcessKeptByOpenConnection guards against processes that a connection without a request, on a
// port other than the callers', keeps beyond their grace period.
func TestProcessKeptByOpenConnection(t *testing.T) {
	const grace = gracePeriodSeconds * time.Second
	f := newFleet(t, buildBinary(t), 1, serverCount)
	requireService(t, f, "before SIGTERM")
	g := f.gateways[0]
	start := time.Now()
	g.signal(syscall.SIGTERM)
	time.Sleep(time.Until(start.Add(grace / 2)))
	for _, address := range []netip.AddrPort{g.readyAddress, g.peerAddress} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	if !g.waitExit(time.Until(start.Add(grace))) {
		t.Errorf("the process runs longer than %s", grace)
	}
	t.Logf("the process ended after %s", time.Since(start))
}
