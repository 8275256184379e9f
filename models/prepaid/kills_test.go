package prepaid_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/tests/knownred"
)

const (
	killInterval = 10 * second
	killPause    = 2 * second
	killCount    = 4
	// maxWithheld is the operators' target for the fraction of a workspace's total that a kill of
	// all gateways may withhold, beyond what was spent or held for requests.
	maxWithheld = 0.01
	// closingTime is the time after a kill in which the successors have closed all grants.
	closingTime = 5 * second
)

// killSeries kills all gateways in series and returns the mean fraction of the total that each
// kill withheld.
func killSeries(t *testing.T, f *fleet, powerOff bool) float64 {
	t.Helper()
	var withheld int64
	for range killCount {
		f.run(f.now + killInterval - closingTime)
		for _, g := range f.gateways {
			g.kill(killPause, powerOff)
		}
		f.run(f.now + closingTime)
		withheld = f.closed() - f.spentByExited
		if withheld < 0 {
			t.Fatalf("%s: %d tokens of killed processes are not closed", f.now, -withheld)
		}
		if spent := f.spent(); spent > f.prepaid {
			t.Fatalf("%s: spent %d of %d", f.now, spent, f.prepaid)
		}
	}
	return float64(withheld) / killCount / float64(f.prepaid)
}

// closed returns the number of tokens that count as spent by killed processes.
func (f *fleet) closed() int64 {
	var sum int64
	for _, g := range f.account.Grants {
		sum += g.PriorSpent
	}
	return sum
}

// TestKillsOfAllInSeries kills all gateways every 10 s. It guards against successors that close less
// than was spent, compares what each kill withholds with the operators' target, and checks that the
// rest can be spent to its end.
func TestKillsOfAllInSeries(t *testing.T) {
	const (
		total  = 2_700_000
		demand = 45_000
		// largest is the size of the largest requests.
		largest = 80_000
	)
	for _, gateways := range []int{1, 4, 103} {
		for _, powerOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d gateways, power off %t", gateways, powerOff), func(t *testing.T) {
				seeds := uint64(3)
				if gateways > 4 {
					seeds = 1
				}
				var withheld float64
				for seed := range seeds {
					f := newFleet(seed, total, equalDemands(gateways, demand/float64(gateways))...)
					withheld += killSeries(t, f, powerOff) / float64(seeds)
					f.run(f.now + 40*second)
					lost := f.closed() - f.spentByExited
					if rest := f.prepaid - lost - f.spent(); rest > largest {
						t.Errorf("seed %d: %d tokens were neither spent nor withheld", seed, rest)
					}
				}
				t.Logf("withheld %.4f of the total by each kill", withheld)
				problem := ""
				if withheld > maxWithheld {
					problem = fmt.Sprintf("each kill withheld %.4f of the total, more than %.4f", withheld, maxWithheld)
				}
				knownred.Report(t, problem)
			})
		}
	}
}

// TestKillsOfAllInCuts kills all gateways during and after cuts from the store, between a write and
// its response, and checks that they never spend more than the total.
func TestKillsOfAllInCuts(t *testing.T) {
	for _, gateways := range []int{1, 4, 103} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			seeds := uint64(40)
			if gateways > 4 {
				seeds = 2
			}
			for seed := range seeds {
				f := newFleet(seed, 900_000, equalDemands(gateways, 45_000/float64(gateways))...)
				f.storeFaultRate = 0.2
				for range killCount {
					f.run(f.now + time.Duration(2000+f.rand.IntN(4000))*time.Millisecond)
					f.setDisconnected(f.rand.IntN(3) > 0)
					f.run(f.now + time.Duration(f.rand.IntN(6000))*time.Millisecond)
					for _, g := range f.gateways {
						g.kill((time.Duration(300+f.rand.IntN(3500)) * time.Millisecond).Round(tick), f.rand.IntN(2) == 0)
					}
					f.run(f.now + time.Duration(f.rand.IntN(4000))*time.Millisecond)
					f.setDisconnected(false)
					if spent := f.spent(); spent > f.prepaid {
						t.Fatalf("seed %d at %s: spent %d of %d", seed, f.now, spent, f.prepaid)
					}
				}
				f.run(f.now + 20*second)
				if spent := f.spent(); spent > f.prepaid {
					t.Fatalf("seed %d at the end: spent %d of %d", seed, spent, f.prepaid)
				}
			}
		})
	}
}
