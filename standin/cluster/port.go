package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The portCount lie below those that the system gives to outgoing connections, so
// that none is taken between the search and the start of its process.
const (
	firstPort = 20000
	portCount = 12000
	// portsPerProcess keeps the searches of two processes apart.
	portsPerProcess = 400
)

// portsTried counts the ports that this process has looked at.
var portsTried atomic.Int64

// freePort returns a port that neither TCP nor UDP uses, a new one each time.
func freePort() (int, error) {
	start := int64(os.Getpid()) * portsPerProcess
	for range portCount {
		port := firstPort + int((start+portsTried.Add(1))%portCount)
		if isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
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
