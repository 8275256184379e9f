package faults_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// tableBound is the bound on how soon changes of the tables must be in force, and stopTime is for how
	// long a process is stopped, which is longer.
	tableBound = 2 * time.Second
	stopTime   = 4 * time.Second
	// stoppedRequests is the number of requests that are sent to a process that was stopped: some wait in its
	// sockets, the others follow after resumedInterval each, for as long as a read of the store takes.
	stoppedRequests = 100
	waitingRequests = 40
	resumedInterval = 2 * time.Millisecond
)

// newBoundedFleet starts a gateway that knows the bounds on how soon changes must be in force.
func newBoundedFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, buildBinary(t), 1, serverCount)
	g := f.gateways[0]
	f.kill(g)
	setParameters(t, g, map[string]any{"config_ms": tableBound.Milliseconds(), "drain_ms": tableBound.Milliseconds()})
	f.startAll("with bounds")
	return f
}

// setParameters sets parameters in the settings file of the gateway.
func setParameters(t *testing.T, g *gateway, parameters map[string]any) {
	t.Helper()
	data, err := os.ReadFile(g.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		t.Fatal(err)
	}
	all, ok := settings["parameters"].(map[string]any)
	if !ok {
		t.Fatal("the settings have no parameters")
	}
	for name, value := range parameters {
		all[name] = value
	}
	if data, err = json.Marshal(settings); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.settingsFile, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// dialAll opens connections to the gateway.
func dialAll(t *testing.T, g *gateway, n int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", g.callerAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[i] = conn
	}
	return conns
}

// keyedRequest returns a request that runs once, with the API key.
func keyedRequest(id, key string) string {
	return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n\r\nbody", host, id, key)
}

// sendWhileStopped stops the gateway, calls change once the store has answered the reads that it held, lets the
// gateway run on, sends a request with the key on each connection, and returns the number of responses of each
// status.
func sendWhileStopped(t *testing.T, g *gateway, conns []net.Conn, id, key string, change func()) map[int]int {
	t.Helper()
	start := time.Now()
	g.signal(syscall.SIGSTOP)
	time.Sleep(stopTime / 3)
	change()
	time.Sleep(time.Until(start.Add(stopTime)))
	for i, conn := range conns {
		switch {
		case i == waitingRequests:
			g.signal(syscall.SIGCONT)
		case i > waitingRequests:
			time.Sleep(resumedInterval)
		}
		if _, err := conn.Write([]byte(keyedRequest(fmt.Sprintf("%s-%d", id, i), key))); err != nil {
			t.Error(err)
		}
	}
	statuses := map[int]int{}
	for _, conn := range conns {
		if err := conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
			t.Error(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Logf("no response: %v", err)
			statuses[0]++
			continue
		}
		_ = resp.Body.Close()
		statuses[resp.StatusCode]++
	}
	return statuses
}

// TestKeyAddedWhileStopped guards against a gateway that stood still after the store had answered it, takes
// that response for the present state, and refuses for good what was allowed meanwhile.
func TestKeyAddedWhileStopped(t *testing.T) {
	f := newBoundedFleet(t)
	g := f.gateways[0]
	g.storeProxy.setMode(delay)
	for round := range 3 {
		key := fmt.Sprintf("added-%d", round)
		conns := dialAll(t, g, stoppedRequests)
		time.Sleep(settleTime)
		statuses := sendWhileStopped(t, g, conns, key, key, func() {
			f.addedKeys = append(f.addedKeys, key)
			f.publish()
		})
		t.Logf("round %d: responses by status: %v", round, statuses)
		if n := statuses[http.StatusUnauthorized]; n > 0 {
			t.Errorf("round %d: %d of %d requests got 401 for a key that was added %s before they were sent", round, n, stoppedRequests, 2*stopTime/3)
		}
		if statuses[0] > 0 {
			t.Errorf("round %d: %d requests got no response", round, statuses[0])
		}
	}
}

// TestServerDrainsWhileStopped guards against a gateway that stood still and sends requests to a server that
// began to drain meanwhile, longer ago than the operators' bound.
func TestServerDrainsWhileStopped(t *testing.T) {
	f := newBoundedFleet(t)
	g := f.gateways[0]
	g.storeProxy.setMode(delay)
	for round := range 3 {
		id := fmt.Sprintf("drains-%d", round)
		conns := dialAll(t, g, stoppedRequests)
		time.Sleep(settleTime)
		statuses := sendWhileStopped(t, g, conns, id, unlimitedKey, func() { f.setServerState(round, "draining") })
		late := 0
		for _, r := range f.servers[round].Requests() {
			if strings.HasPrefix(r.ID, id) {
				late++
			}
		}
		t.Logf("round %d: responses by status: %v, %d requests to the server that drains", round, statuses, late)
		if late > 0 {
			t.Errorf("round %d: %d requests were sent to a server that had been draining for %s, the bound is %s", round, late, 2*stopTime/3, tableBound)
		}
		if statuses[http.StatusOK] == 0 {
			t.Errorf("round %d: no request was served", round)
		}
		f.restartServer(round)
	}
}
