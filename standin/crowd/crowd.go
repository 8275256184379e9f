// Package crowd simulates callers that operators don't control. Many of them send requests at once, stop
// short of the end and keep their connections open. It measures what a process takes meanwhile.
package crowd

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// holdTime is how long a caller keeps its connection open after it stopped sending.
	holdTime = 3 * time.Second
	// sendTimeout bounds the time in which a caller sends, as the process may stop reading.
	sendTimeout = 10 * time.Second
	// sampleInterval is the time between two counts of the process's file descriptors.
	sampleInterval = 50 * time.Millisecond
	// completeEvery is how many callers there are for each that sends its request to the end.
	completeEvery = 8
	// unreadBytes is what the system takes for a caller that doesn't read. By default it takes megabytes.
	unreadBytes = 4 << 10
)

// Crowd is a number of callers that send the same at once. That the process refuses a request or closes a
// connection is allowed.
type Crowd struct {
	Name    string
	Callers int
	// Write sends a request. Without complete, it stops short of the end.
	Write func(w io.Writer, caller int, complete bool) error
	// Unread is whether the callers leave what the process sends unread.
	Unread bool
	// TLS is the configuration of the callers' connections, nil without TLS.
	TLS *tls.Config
}

// Run lets the callers send to the address, and returns when all have closed their connections.
func (c Crowd) Run(address netip.AddrPort) {
	var calling sync.WaitGroup
	for i := range c.Callers {
		calling.Go(func() { c.call(address, i) })
	}
	calling.Wait()
}

// call sends one request and keeps the connection open.
func (c Crowd) call(address netip.AddrPort, caller int) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(sendTimeout)) != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && c.Unread && tcp.SetReadBuffer(unreadBytes) != nil {
		return
	}
	if c.TLS != nil {
		conn = tls.Client(conn, c.TLS)
	}
	closed := make(chan struct{})
	var reading sync.WaitGroup
	defer reading.Wait()
	if !c.Unread {
		reading.Go(func() {
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		})
	}
	if c.Write(conn, caller, caller%completeEvery == 0) == nil {
		select {
		case <-closed:
		case <-time.After(holdTime):
		}
	}
	// This ends the reader.
	_ = conn.Close()
}

// Usage is what a process took at most while a crowd called it.
type Usage struct {
	MemoryBytes int64
	Descriptors int
}

// Measure runs the crowd and returns what the process took meanwhile. It returns an error if the process
// has ended.
func (c Crowd) Measure(p Process, address netip.AddrPort) (Usage, error) {
	return Measure(p, func() { c.Run(address) })
}

// Measure runs calls and returns what the process took meanwhile, like Crowd.Measure.
func Measure(p Process, calls func()) (Usage, error) {
	if err := p.ResetPeak(); err != nil {
		return Usage{}, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		calls()
	}()
	var used Usage
	for running := true; running; {
		n, err := p.Descriptors()
		if err != nil {
			<-ended
			return used, err
		}
		used.Descriptors = max(used.Descriptors, n)
		select {
		case <-ended:
			running = false
		case <-time.After(sampleInterval):
		}
	}
	var err error
	used.MemoryBytes, err = p.PeakBytes()
	return used, err
}
