package retry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/retry"
	"github.com/crocusline/crocusline/models/roster"
)

// The load and the disturbance of the simulation. Silence does not depend on the load.
const (
	simDuration    = 30 * time.Second
	simDisturbance = 20 * time.Second
	simStart       = 5 * time.Second
	simDeadline    = 5 * time.Second
	simGoal        = 600 * time.Millisecond
	simService     = 40 * time.Millisecond
	simAttempts    = 3
	simWindow      = 10 * time.Second
	simMaxChecks   = 8
	// The operators' budget, and what the gateways take of it.
	simRatio        = 0.2
	simExtra        = 52
	simGatewayRatio = 0.15
	simGatewayExtra = 39
)

// silence is a time in which a server sends nothing. What it has got by then is answered afterwards.
type silence struct{ from, to time.Duration }

type simulation struct {
	rand      *rand.Rand
	events    simEvents
	now       time.Duration
	silences  [][]silence
	balancers []*balance.Balancer
	budgets   []*retry.WindowBudget
	// repeatable is whether requests may be sent again.
	repeatable         bool
	served             []bool
	sentAt, repeatedAt []time.Duration
}

type simEvent struct {
	at time.Duration
	f  func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) at(d time.Duration, f func()) { heap.Push(&s.events, simEvent{d, f}) }

func (s *simulation) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(s.now) }

// newSimulation returns a simulation whose servers are silent by themselves, or half of them at once.
func newSimulation(seed uint64, gateways, servers int, crowds bool) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), silences: make([][]silence, servers)}
	var list []roster.Server
	for i := range servers {
		list = append(list, roster.Server{ID: strconv.Itoa(i), Slots: 8})
	}
	for range gateways {
		b := balance.New(balance.WithRand(rand.New(rand.NewPCG(seed, 2))))
		b.SetServers(list, 0)
		s.balancers = append(s.balancers, b)
		s.budgets = append(s.budgets, retry.NewWindowBudget(simWindow, simGatewayRatio, func() int { return simGatewayExtra / gateways }))
	}
	length := func() time.Duration { return time.Duration(200+s.rand.IntN(7000)) * time.Millisecond }
	add := func(i int, at time.Duration) time.Duration {
		end := min(at+length(), simStart+simDisturbance)
		s.silences[i] = append(s.silences[i], silence{at, end})
		return end
	}
	if crowds {
		for at := simStart; at < simStart+simDisturbance; at += 4 * time.Second {
			for i := range servers {
				if s.rand.IntN(2) == 0 {
					add(i, at)
				}
			}
		}
		return s
	}
	for i := range servers {
		at := simStart
		for {
			at += time.Duration(s.rand.IntN(16000)) * time.Millisecond
			if at >= simStart+simDisturbance {
				break
			}
			at = add(i, at)
		}
	}
	return s
}

// answerAt returns when the server answers what it gets now.
func (s *simulation) answerAt(server int) time.Duration {
	answer := s.now + simService
	for _, x := range s.silences[server] {
		if s.now < x.to && answer > x.from {
			answer = max(answer, x.to+simService)
		}
	}
	return answer
}

// simRequest is a request at one gateway.
type simRequest struct {
	*simulation
	index, gateway, sends int
	deadline              time.Duration
	tried                 []string
	done                  bool
}

// run plays the given number of requests a second.
func (s *simulation) run(rate int) {
	requests := int(simDuration/time.Second) * rate
	s.served, s.sentAt = make([]bool, requests), make([]time.Duration, requests)
	for i := range requests {
		at := time.Duration(i) * simDuration / time.Duration(requests)
		gateway := s.rand.IntN(len(s.balancers))
		s.sentAt[i] = at
		s.at(at, func() {
			r := &simRequest{simulation: s, index: i, gateway: gateway, deadline: at + simDeadline}
			s.budgets[gateway].RecordRequest(s.clock())
			s.at(r.deadline, func() { r.done = true })
			r.send()
		})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.f()
	}
}

func (r *simRequest) balanceRequest() balance.Request {
	return balance.Request{ID: strconv.Itoa(r.index), Exclude: r.tried, Idempotent: r.repeatable, Goal: simGoal}
}

func (r *simRequest) send() {
	b := r.balancers[r.gateway]
	choice, ok := b.Choose(r.clock(), r.balanceRequest())
	if !ok {
		r.done = true
		return
	}
	b.RecordSent(r.clock(), choice.Server.ID, r.balanceRequest(), choice)
	r.tried = append(r.tried, choice.Server.ID)
	if r.sends++; r.sends > 1 {
		r.repeatedAt = append(r.repeatedAt, r.now)
	}
	server, _ := strconv.Atoi(choice.Server.ID)
	startedAt, ended := r.now, false
	end := func() {
		ended = true
		b.RecordEnd(choice.Server.ID, r.balanceRequest())
	}
	r.at(r.answerAt(server), func() {
		if ended {
			return
		}
		end()
		if !r.done {
			r.done, r.served[r.index] = true, true
			b.RecordSuccess(choice.Server.ID)
		}
	})
	r.at(r.deadline, func() {
		if !ended {
			end()
		}
	})
	if r.repeatable && r.sends < simAttempts {
		r.checkLater(1, choice.Server.ID, startedAt, &ended, end)
	}
}

// checkLater looks whether the send is given up after the silence timeout.
func (r *simRequest) checkLater(checks int, server string, startedAt time.Duration, ended *bool, end func()) {
	r.at(r.now+simGoal/2, func() {
		if *ended || r.done {
			return
		}
		b := r.balancers[r.gateway]
		if checks == 1 {
			b.RecordUnreachable(r.clock(), server)
		}
		choice, available := b.Choose(r.clock(), r.balanceRequest())
		reservation, ok := r.budgets[r.gateway].Replace(r.clock(), retry.Replacement{
			Available: available, Suspected: choice.Trial, AttemptsLeft: simAttempts - r.sends,
			Latency: choice.PredictedLatency, Waited: r.now - startedAt, TimeLeft: r.deadline - r.now,
		})
		if ok {
			end()
			r.budgets[r.gateway].Spend(r.clock(), reservation)
			r.send()
			return
		}
		if checks < simMaxChecks {
			r.checkLater(checks+1, server, startedAt, ended, end)
		}
	})
}

// servedBetween returns the share served of the requests sent in the time.
func (s *simulation) servedBetween(from, to time.Duration) float64 {
	served, all := 0, 0
	for i, at := range s.sentAt {
		if at >= from && at < to {
			all++
			if s.served[i] {
				served++
			}
		}
	}
	return float64(served) / float64(all)
}

// beyondBudget returns by how much the repeated sends of a window exceed the budget of all gateways. As in
// the operators' rule, the requests are those of that window, of the one before it, or of the one half a
// window before, whichever are most.
func (s *simulation) beyondBudget() float64 {
	worst := -float64(simExtra)
	for i, first := range s.repeatedAt {
		n := 0
		for _, at := range s.repeatedAt[i:] {
			if at-first >= simWindow {
				break
			}
			n++
		}
		requests := max(s.sentIn(first), s.sentIn(first-simWindow/2), s.sentIn(first-simWindow))
		worst = max(worst, float64(n)-simRatio*float64(requests)-simExtra)
	}
	return worst
}

// sentIn returns the number of requests in the window that begins at the time.
func (s *simulation) sentIn(from time.Duration) int {
	first, _ := slices.BinarySearch(s.sentAt, from)
	end, _ := slices.BinarySearch(s.sentAt, from+simWindow)
	return end - first
}

// TestSilentServers plays the same load of requests that may run once and of those that may be repeated
// against servers that are silent one by one or in crowds.
func TestSilentServers(t *testing.T) {
	for _, tt := range []struct {
		gateways, servers, rate int
		seeds                   uint64
	}{{4, 1, 12, 3}, {4, 18, 216, 3}, {4, 160, 320, 1}, {103, 18, 216, 3}, {103, 160, 320, 1}} {
		for _, crowds := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d gateways, %d servers, crowds %t", tt.gateways, tt.servers, crowds), func(t *testing.T) {
				for seed := range tt.seeds {
					play := func(repeatable bool) *simulation {
						s := newSimulation(seed, tt.gateways, tt.servers, crowds)
						s.repeatable = repeatable
						s.run(tt.rate)
						return s
					}
					once, repeatable := play(false).servedBetween(0, simDuration), play(true)
					share := repeatable.servedBetween(0, simDuration)
					t.Logf("seed %d: once %.4f, repeatable %.4f, %d repeated", seed, once, share, len(repeatable.repeatedAt))
					if share < once {
						t.Errorf("seed %d: %.4f of the repeatable requests served, %.4f of those that run once", seed, share, once)
					}
					if n := repeatable.beyondBudget(); n > 0 {
						t.Errorf("seed %d: %.0f sends beyond the retry budget", seed, n)
					}
					const end = simStart + simDisturbance
					before, after := repeatable.servedBetween(0, simStart-simGoal), repeatable.servedBetween(end, end+3*time.Second)
					if after < before {
						t.Errorf("seed %d: %.4f served after the disturbance, %.4f before", seed, after, before)
					}
				}
			})
		}
	}
}
