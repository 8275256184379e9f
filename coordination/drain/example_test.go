package drain_test

import (
	"fmt"

	"github.com/crocusline/crocusline/coordination/drain"
)

func Example() {
	var s drain.State
	fmt.Println("in service, idle: safe", s.SafeToStop())
	s = s.WithPlannedStop(true)
	work := []drain.PendingWork{{Name: "requests", Count: 0}, {Name: "bills", Count: 2}}
	fmt.Println("planned: draining", s.Draining(), "safe", s.SafeToStop(work...), "waits for", drain.Remaining(work...))
	work[1].Count = 0
	fmt.Println("nothing left: safe", s.SafeToStop(work...))
	s = s.WithPlannedStop(false)
	fmt.Println("withdrawn: draining", s.Draining())
	s = s.WithShutdown().WithPlannedStop(true).WithPlannedStop(false)
	fmt.Println("shutting down, then withdrawn: draining", s.Draining())
	// Output:
	// in service, idle: safe false
	// planned: draining true safe false waits for [{bills 2}]
	// nothing left: safe true
	// withdrawn: draining false
	// shutting down, then withdrawn: draining true
}
