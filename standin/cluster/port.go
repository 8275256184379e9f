package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral range, so that no outgoing connection takes
// one between the search and the start of its process.
const (
	firstPort = 20000
	portCount = 12000
	// portsPerProcess is the distance between the first candidates of processes
	// with consecutive ids, so that concurrent searches don't overlap.
	portsPerProcess = 400
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// freePort returns a port that is free for TCP and UDP, a different one each time.
func freePort() (int, error) {
	start := int64(os.Getpid()) * portsPerProcess
	for range portCount {
		port := firstPort + int((start+portsTried.Add(1))%portCount)
		if isFree(port) {
			return port, nil
		}
	}
	return 0, errors.Errorf("no free port from %d to %d", firstPort, firstPort+portCount-1)
}

func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	var config net.ListenConfig
	tcp, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return false
	}
	defer udp.Close()
	return true
}
