package memory_test

import (
	"testing"

	"github.com/crocusline/crocusline/models/memory"
)

// idleBytes is what a gateway may take of the Go runtime's memory limit without requests: tables, the list
// of servers and log lines. One with small tables takes 4 MB.
const idleBytes = 17 << 20

// ordinaryBytes is the average body of the deployments with the largest ones, and maxBodyBytes the
// largest body that is allowed.
const (
	ordinaryBytes = 17_000
	maxBodyBytes  = 4 << 20
)

// TestPlanExceedsLimit guards against shares that exceed the runtime's limit together, which would
// make it collect garbage all the time, and against a limit that ordinary callers reach.
func TestPlanExceedsLimit(t *testing.T) {
	for _, limit := range []int64{88 << 20, 112 << 20, 536 << 20} {
		p := memory.NewPlan(limit)
		if sum := p.Total + p.Connections + idleBytes; sum > p.Runtime {
			t.Errorf("%d MB: the shares need %d bytes of %d", limit>>20, sum, p.Runtime)
		}
		if n := p.MaxConnections(4100); n < 500 || n > 2050 {
			t.Errorf("%d MB: at most %d connections", limit>>20, n)
		}
	}
	if n := memory.NewPlan(8 << 30).MaxConnections(0); n > 3075/2 {
		t.Errorf("at most %d connections of a process whose descriptors are unknown", n)
	}
}

// TestLargeRequestsStarveOthers guards against a process in which large bodies that stop short of their
// end take the memory of ordinary ones, or in which a single body of the largest size doesn't fit.
func TestLargeRequestsStarveOthers(t *testing.T) {
	for name, size := range map[string]int64{"length": memory.RequestBytes + maxBodyBytes, "chunks": memory.RequestBytes + 2*maxBodyBytes} {
		var b memory.Budget
		b.SetLimit(88 << 20)
		large := int64(0)
		for b.ResizeRequest(0, size) {
			large++
		}
		if large == 0 {
			t.Errorf("%s: a single body of the largest size is refused", name)
		}
		ordinary := 0
		for b.ResizeRequest(0, memory.RequestBytes+ordinaryBytes) {
			ordinary++
		}
		if ordinary < 300 {
			t.Errorf("%s: %d ordinary requests beside %d large ones, want 300", name, ordinary, large)
		}
		if b.ResizeResponse(0, 1<<20) {
			t.Errorf("%s: a response holds more than all requests may", name)
		}
		for range large {
			b.ResizeRequest(size, 0)
		}
		if want := int64(ordinary) * (memory.RequestBytes + ordinaryBytes); b.Held() != want {
			t.Errorf("%s: %d bytes are held, want %d", name, b.Held(), want)
		}
	}
}
