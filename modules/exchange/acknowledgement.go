package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acknowledgementInterval is the time between two checks of what the server's system acknowledges.
const acknowledgementInterval = 500 * time.Millisecond

// errUnacknowledged ends a request whose server's system acknowledges nothing.
var errUnacknowledged = errors.Errorf("the server's system acknowledged nothing for %v", DefaultUserTimeout)

// acknowledgements decides whether the server's system is gone. A server that reads a long body late keeps its
// receive window closed, and its system answers the probes of the window. The user timeout of the kernel takes
// both for a silent peer, and closes the connection without telling the server.
type acknowledgements struct {
	// unansweredSince is when a segment was first seen unanswered, or the zero value.
	unansweredSince time.Time
}

// observe reports whether the system of the server is gone. unanswered is whether a segment was sent again or a probe
// has no answer yet, and silence the time since the last acknowledgement.
func (a *acknowledgements) observe(now time.Time, unanswered bool, silence time.Duration) bool {
	switch {
	case !unanswered:
		a.unansweredSince = time.Time{}
	case a.unansweredSince.IsZero(), silence < now.Sub(a.unansweredSince):
		a.unansweredSince = now
	}
	return unanswered && now.Sub(a.unansweredSince) >= DefaultUserTimeout
}

// watchAcknowledgements ends the request by the function once the server's system acknowledges nothing, in place of the
// kernel's user timeout. It does nothing if the system says nothing about its connections.
func (c *conn) watchAcknowledgements(ctx context.Context, end context.CancelCauseFunc) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	if _, err := tcpInfo(raw); err != nil || setUserTimeoutOf(raw, 0) != nil {
		return
	}
	c.watching.Go(func() {
		// If this fails, the connection was closed.
		defer func() { _ = setUserTimeoutOf(raw, DefaultUserTimeout) }()
		ticker := time.NewTicker(acknowledgementInterval)
		defer ticker.Stop()
		var a acknowledgements
		for c.writing.Load() || hasUnacknowledged(tcp) {
			select {
			case now := <-ticker.C:
				info, err := tcpInfo(raw)
				if err != nil {
					return
				}
				if a.observe(now, info.Retransmits > 0 || info.Probes > 0, time.Duration(info.Last_ack_recv)*time.Millisecond) {
					end(errUnacknowledged)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	})
}

// hasUnacknowledged reports whether the peer's system may lack bytes that were written.
func hasUnacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	queued, err := queuedBytes(raw, unix.SIOCOUTQ)
	return err != nil || queued > 0
}

// closeWaits reports whether an orderly close may not be sent at once, as bytes before it aren't sent either or the
// peer's window has no room for it. Where the system says nothing about its connections, unacknowledged bytes count too.
func closeWaits(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	if unsent, err := queuedBytes(raw, unix.SIOCOUTQNSD); err != nil || unsent > 0 {
		return true
	}
	// Read before the window, which counts from the first byte that isn't acknowledged.
	unacknowledged, err := queuedBytes(raw, unix.SIOCOUTQ)
	if err != nil {
		return true
	}
	info, err := tcpInfo(raw)
	if err != nil {
		return unacknowledged > 0
	}
	return unacknowledged >= int(info.Snd_wnd)
}

// queuedBytes returns the number of bytes in the connection's send queue that the request selects.
func queuedBytes(raw syscall.RawConn, request uint) (int, error) {
	var queued int
	var queuedErr error
	if err := raw.Control(func(fd uintptr) { queued, queuedErr = unix.IoctlGetInt(int(fd), request) }); err != nil {
		return 0, errors.WithStack(err)
	}
	return queued, errors.WithStack(queuedErr)
}

// tcpInfo returns what the system knows about the connection, or an error if it is closed or the system doesn't say.
func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return nil, errors.WithStack(err)
	}
	if infoErr != nil {
		return nil, errors.WithStack(infoErr)
	}
	if info.State == 0 || info.Snd_mss == 0 {
		return nil, errors.New("the system says nothing about the connection")
	}
	return info, nil
}

// setUserTimeoutOf sets the user timeout of a connection. 0 is the system's default.
func setUserTimeoutOf(raw syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
}
