package faults_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// proxyMode determines what a proxy does with its connections.
type proxyMode int

const (
	forward proxyMode = iota
	// delay holds back each chunk for chunkDelay.
	delay
	// reset resets the connections that are open when it is set.
	reset
	// stall forwards nothing in either direction.
	stall
	// stallReplies forwards nothing from the target to the client.
	stallReplies
	modeCount
)

// chunkDelay is several times the round trip within a region.
const chunkDelay = 30 * time.Millisecond

// proxy is a loopback proxy in front of one address.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   proxyMode
	conns  map[net.Conn]bool
}

func newProxy(t *testing.T, to netip.AddrPort) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: to, conns: map[net.Conn]bool{}}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(forward)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// setMode changes the mode. Open connections are reset when the mode becomes reset,
// and when a stall ends, since the bytes that were held back are lost.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := m == reset || p.mode == stall || p.mode == stallReplies
	p.mode = m
	if lost {
		p.resetConns()
	}
}

// resetOpen resets the open connections and keeps the mode.
func (p *proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConns()
}

// resetConns resets the open connections, with the proxy locked.
func (p *proxy) resetConns() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// lead makes later connections lead to another address, and resets the open ones.
func (p *proxy) lead(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = to
	p.resetConns()
}

func (p *proxy) leadsTo() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.leadsTo().String())
		if err != nil {
			_ = from.Close()
			continue
		}
		p.track(from, true)
		p.track(to, true)
		go p.relay(to, from, false)
		go p.relay(from, to, true)
	}
}

// relay copies bytes in one direction until either side closes. reply reports
// whether the direction is from the target to the client.
func (p *proxy) relay(to, from net.Conn, reply bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.track(to, false)
		p.track(from, false)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for m := p.currentMode(); m == stall || (m == stallReplies && reply); m = p.currentMode() {
			time.Sleep(time.Millisecond)
		}
		if p.currentMode() == delay {
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
