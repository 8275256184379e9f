package exchange

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// minWindowPoll and maxWindowPoll bound the interval at which a closed receive window is looked
	// at again. It doubles while the window stays closed.
	minWindowPoll = time.Millisecond
	maxWindowPoll = 32 * time.Millisecond
	// minWindowWrite is the size in bytes up to which a write is put off while earlier bytes are on
	// their way, so that segments are not small.
	minWindowWrite = 16 << 10
)

// windowWriter writes no more than the peer's receive window has room for. The TCP user timeout
// also ends a connection whose peer acknowledges all and keeps its window closed, if bytes are left
// to send, and a server may read a body late. If none are left, only keep-alive probes that stay
// without a response end it.
type windowWriter struct {
	net.Conn
}

// Write implements io.Writer. It returns when all is written or the connection is closed.
func (w *windowWriter) Write(p []byte) (int, error) {
	sys, ok := w.Conn.(syscall.Conn)
	if !ok {
		return w.Conn.Write(p)
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	written := 0
	poll := minWindowPoll
	for written < len(p) {
		room, err := windowRoom(raw, len(p)-written)
		if err != nil {
			return written, err
		}
		if room == 0 {
			time.Sleep(poll)
			poll = min(2*poll, maxWindowPoll)
			continue
		}
		n, err := w.Conn.Write(p[written : written+room])
		written += n
		if err != nil {
			return written, errors.WithStack(err)
		}
		poll = minWindowPoll
	}
	return written, nil
}

// windowRoom returns how many of the next bytes to write to the socket now.
func windowRoom(raw syscall.RawConn, next int) (int, error) {
	var info *unix.TCPInfo
	var queued int
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	if controlErr != nil {
		return 0, errors.WithStack(controlErr)
	}
	if err != nil {
		return 0, errors.Wrap(err, "read the state of the connection")
	}
	room := min(next, int(info.Snd_wnd)-queued)
	if room <= 0 || (queued > 0 && room < min(next, minWindowWrite)) {
		return 0, nil
	}
	return room, nil
}
