package faults_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a proxy does to its connections.
type proxyMode int

const (
	forward proxyMode = iota
	delay
	reset
	stall
	stallReplies
	modeCount
)

// chunkDelay is some times the round trip of a region.
const chunkDelay = 30 * time.Millisecond

// proxy is a loopback proxy before one address.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
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

// setMode changes the mode. A reset breaks the open connections once; the end of a
// silence breaks them as well, since what they held back is lost.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	broken := m == reset || p.mode == stall || p.mode == stallReplies
	p.mode = m
	if !broken {
		return
	}
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
		to, err := net.Dial("tcp", p.target.String())
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

// relay moves bytes one way until a side ends.
func (p *proxy) relay(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.track(to, false)
		p.track(from, false)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for m := p.currentMode(); m == stall || (m == stallReplies && back); m = p.currentMode() {
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
