// Package netmeter counts the bytes that a process reads and writes on its TCP connections, with
// an estimate of what their packets add. The counts are atomic additions, so that every
// connection of the process can be counted.
package netmeter

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// segmentBytes is the payload of a full TCP segment on Ethernet.
	segmentBytes = 1448
	// packetBytes are the headers of a packet: Ethernet 14, IP 20, TCP with timestamps 32. An
	// acknowledgement has no more than that. For events of 45 bytes the headers and
	// acknowledgements are most of the traffic.
	packetBytes = 66
	// segmentsPerAcknowledgement is the number of full segments that one acknowledgement covers.
	segmentsPerAcknowledgement = 2
)

// Counts are the bytes that crossed the network link since the start, and the open connections.
type Counts struct {
	Read, Written int64
	// Answered is the part of Read that is the payload of connections which the process has established.
	Answered int64
	Open     int64
}

// Meter counts the bytes of connections. A nil Meter counts nothing.
type Meter struct {
	read, written, answered, open atomic.Int64
}

// New returns a meter without connections.
func New() *Meter { return &Meter{} }

// Counts returns the counts of all connections since the start.
func (m *Meter) Counts() Counts {
	if m == nil {
		return Counts{}
	}
	return Counts{Read: m.read.Load(), Written: m.written.Load(), Answered: m.answered.Load(), Open: m.open.Load()}
}

// Conn returns a connection that the process has established, with its bytes counted. A TCP connection stays one with all
// its methods, by TCPConn.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return m.wrap(c, false)
}

func (m *Meter) wrap(c net.Conn, accepted bool) net.Conn {
	m.open.Add(1)
	if tcp, ok := c.(*net.TCPConn); ok {
		return &TCPConn{TCPConn: tcp, meter: m, accepted: accepted}
	}
	return &conn{Conn: c, meter: m, accepted: accepted}
}

// Listener returns the listener with its connections counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return &listener{Listener: l, meter: m}
}

// DialFunc establishes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the function with its connections counted.
func (m *Meter) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(c), nil
	}
}

// recordRead counts a read of n bytes, from an accepted connection or not, and the acknowledgements for them.
func (m *Meter) recordRead(n int, accepted bool) {
	if n <= 0 {
		return
	}
	payload, acknowledgements := traffic(n)
	m.read.Add(payload)
	m.written.Add(acknowledgements)
	if !accepted {
		m.answered.Add(int64(n))
	}
}

// recordWritten counts a write of n bytes and the acknowledgements for them.
func (m *Meter) recordWritten(n int) {
	if n <= 0 {
		return
	}
	payload, acknowledgements := traffic(n)
	m.written.Add(payload)
	m.read.Add(acknowledgements)
}

// traffic returns the size of the packets that carry n bytes, and of their acknowledgements.
func traffic(n int) (payload, acknowledgements int64) {
	segments := (n + segmentBytes - 1) / segmentBytes
	acknowledged := (segments + segmentsPerAcknowledgement - 1) / segmentsPerAcknowledgement
	return int64(n + segments*packetBytes), int64(acknowledged * packetBytes)
}

// TCPConn is a TCP connection whose bytes are counted.
type TCPConn struct {
	*net.TCPConn
	meter    *Meter
	accepted bool
	closed   sync.Once
}

// Read implements io.Reader.
func (c *TCPConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.meter.recordRead(n, c.accepted)
	return n, err
}

// Write implements io.Writer.
func (c *TCPConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.meter.recordWritten(n)
	return n, err
}

// ReadFrom implements io.ReaderFrom, as that of the TCP connection isn't counted.
func (c *TCPConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(struct{ io.Writer }{c}, r)
	return n, errors.WithStack(err)
}

// WriteTo implements io.WriterTo, as that of the TCP connection isn't counted.
func (c *TCPConn) WriteTo(w io.Writer) (int64, error) {
	n, err := io.Copy(w, struct{ io.Reader }{c})
	return n, errors.WithStack(err)
}

// Close implements io.Closer.
func (c *TCPConn) Close() error {
	c.closed.Do(func() { c.meter.open.Add(-1) })
	return c.TCPConn.Close()
}

// conn is another connection whose bytes are counted.
type conn struct {
	net.Conn
	meter    *Meter
	accepted bool
	closed   sync.Once
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.recordRead(n, c.accepted)
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.recordWritten(n)
	return n, err
}

// Close implements io.Closer.
func (c *conn) Close() error {
	c.closed.Do(func() { c.meter.open.Add(-1) })
	return c.Conn.Close()
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(c, true), nil
}
