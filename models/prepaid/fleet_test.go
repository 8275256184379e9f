package prepaid_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/gateway"
	"github.com/crocusline/crocusline/models/prepaid"
)

const (
	tick          = 50 * time.Millisecond
	writeInterval = 400 * time.Millisecond
	// reportInterval is how often a gateway reports.
	reportInterval = 250 * time.Millisecond
	// staleAfter is the age of a gateway's last read from which on it writes no grants.
	staleAfter = 600 * time.Millisecond
	// unmetTTL is how long the size of an unmet request is kept.
	unmetTTL = time.Second
	// assumedHolders is the number of gateways assumed before any grant is known.
	assumedHolders  = 4
	requestDuration = 600 * time.Millisecond
	// grantWait is how long a request waits for a larger grant, and maxLimitWait how
	// long it waits until the spending limit covers it.
	grantWait    = 400 * time.Millisecond
	maxLimitWait = 2 * time.Second
	// maxLendersAsked is the maximum number of gateways asked to lend for one request.
	maxLendersAsked = 8
	// maxLoans is the maximum number of gateways that lend while a request waits.
	maxLoans = 4
)

// anyPeerAddress is the address of all gateways, which are identified by name.
var anyPeerAddress = netip.MustParseAddrPort("10.0.0.1:80")

var epoch = time.Unix(1_700_000_000, 0)

// fleet simulates gateways that share the tokens of one workspace through a store,
// in virtual time.
type fleet struct {
	rand     *rand.Rand
	now      time.Duration
	prepaid  int64
	planner  *prepaid.Planner
	gateways []*entry
	// members are the gateways that may hold tokens.
	members map[string]gateway.Member

	// account and end are the contents of the store. delayedWrites are grants whose
	// write was not answered and may still take effect.
	account       prepaid.Account
	end           int64
	delayedWrites []delayedWrite
	// storeFaultRate is the probability that a write or its response is lost or delayed.
	storeFaultRate float64

	// spentByExited is the number of tokens that exited processes had spent or held.
	spentByExited int64
	result        result
}

// result holds the numbers of tokens by the outcome of their requests.
type result struct {
	requested int64
	served    int64
	refused   int64
	// falselyRefused is the number of tokens refused although the prepaid total would
	// have covered them.
	falselyRefused int64
}

type delayedWrite struct {
	at    int64
	name  string
	grant prepaid.Grant
	due   time.Duration
}

type entry struct {
	fleet       *fleet
	name        string
	incarnation int
	startedAt   prepaid.ClockReading
	budget      *prepaid.LocalBudget
	// account and next are the contents of the store as last read.
	account prepaid.Account
	next    int64
	readAt  time.Duration
	loaded  bool
	// unconfirmedReport is a report whose write has an unknown outcome, or nil.
	unconfirmedReport *prepaid.Report
	reportedAt        time.Duration
	sequence          int64
	grantWrittenAt    time.Duration
	unmetAt           time.Duration
	running           []runningRequest
	// observed is what lenders had left after loans.
	observed map[string]prepaid.Observation
	// waitingTokens is what requests and other gateways wait for.
	waitingTokens int64
	// lastLender is the gateway that was asked last to lend.
	lastLender *entry
	// lending are the loans that other gateways wait for.
	lending []*loan
	waiting []waitingRequest

	// disconnected is whether the store is unreachable, and isolated whether the other
	// gateways are.
	disconnected   bool
	downUntil      time.Duration
	killed         bool
	isolated       bool
	bootedAt       time.Duration
	boots          int
	clockOffset    time.Duration
	minClockOffset time.Duration
	witnesses      *prepaid.Witnesses
	demand         func(time.Duration) float64
	size           int64
	backlog        float64
}

type runningRequest struct {
	tokens      int64
	reservation prepaid.Reservation
	until       time.Duration
}

type waitingRequest struct {
	tokens  int64
	since   time.Duration
	pending *prepaid.PendingReservation
	// loans are requested from lenders whose spending limits may not permit them yet.
	loans []*loan
	// refusedBy are the lenders that lent less than requested.
	refusedBy []string
}

func newFleet(seed uint64, total int64, demands ...func(time.Duration) float64) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), prepaid: total, planner: prepaid.NewPlanner(),
		members: map[string]gateway.Member{},
	}
	for i, demand := range demands {
		g := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i), demand: demand, size: 12_000}
		f.gateways = append(f.gateways, g)
		f.members[g.name] = gateway.Member{Capacity: 800}
		g.start()
	}
	return f
}

// setRequestSize sets the mean size of requests in tokens. Zero keeps the default.
func (f *fleet) setRequestSize(size int64) {
	for _, g := range f.gateways {
		if size > 0 {
			g.size = size
		}
	}
}

func (f *fleet) time() time.Time { return epoch.Add(f.now) }

// run advances the virtual time to until.
func (f *fleet) run(until time.Duration) {
	for f.now < until {
		f.now += tick
		f.applyDelayedWrites()
		for _, i := range f.rand.Perm(len(f.gateways)) {
			f.gateways[i].step()
		}
	}
}

func (f *fleet) applyDelayedWrites() {
	rest := f.delayedWrites[:0]
	for _, w := range f.delayedWrites {
		switch {
		case w.due > f.now:
			rest = append(rest, w)
		case w.at == f.end:
			f.account, f.end = f.account.WithGrant(w.name, w.grant), f.end+1
		}
	}
	f.delayedWrites = rest
}

// spent returns the number of tokens that were spent or may be spent by requests in
// flight.
func (f *fleet) spent() int64 {
	sum := f.spentByExited
	for _, g := range f.gateways {
		if g.downUntil <= f.now {
			sum += g.committed()
		}
	}
	return sum
}

// start starts a new incarnation.
func (g *entry) start() {
	g.incarnation++
	g.budget = prepaid.NewLocalBudget(g.fleet.time(), float64(g.fleet.prepaid)/45/assumedHolders)
	g.budget.MarkStarted(g.fleet.time())
	g.account, g.next, g.loaded, g.unconfirmedReport = prepaid.Account{}, 0, false, nil
	for _, l := range g.lending {
		l.ended = true
	}
	g.running, g.waiting, g.lending, g.waitingTokens, g.killed = nil, nil, nil, 0, false
	g.minClockOffset = g.clockOffset
	g.startedAt = g.clockReading()
	g.witnesses = prepaid.NewWitnesses(g.name, g.startedAt)
}

// kill ends the incarnation. The next one starts after the pause.
func (g *entry) kill(pause time.Duration, powerOff bool) {
	if g.downUntil > g.fleet.now {
		return
	}
	g.fleet.spentByExited += g.committed()
	g.killed = true
	g.downUntil = g.fleet.now + pause
	if powerOff {
		g.boots++
		g.bootedAt = g.downUntil
	}
}

// committed returns the number of tokens that were spent or may be spent by requests
// in flight. Pending reservations are not included, as their requests have not
// started.
func (g *entry) committed() int64 {
	h := g.budget.HolderState(g.fleet.time(), prepaid.HolderState{})
	own := h.Spent + h.Held
	for _, w := range g.waiting {
		if w.pending != nil {
			own -= w.pending.Held()
		}
	}
	for _, l := range g.lending {
		if l.pending != nil {
			own -= l.pending.Held()
		}
	}
	return own
}

func (g *entry) step() {
	f := g.fleet
	if g.downUntil > f.now {
		return
	}
	if g.downUntil == f.now && g.downUntil > 0 {
		g.start()
	}
	g.minClockOffset = min(g.minClockOffset, g.clockOffset)
	g.readStore()
	g.settleFinished()
	g.addRequests()
	g.serveLoans()
	g.serveWaiting()
	g.countWaiting()
	if f.now-g.grantWrittenAt >= writeInterval || len(g.waiting)+len(g.lending) > 0 {
		g.writeGrant()
	}
	if f.now-g.reportedAt >= reportInterval || len(g.waiting)+len(g.lending) > 0 {
		g.writeReport()
	}
}

func (g *entry) readStore() {
	f := g.fleet
	if g.disconnected {
		return
	}
	for name, r := range f.account.Reports {
		g.witnesses.Record(name, r)
	}
	for _, other := range f.gateways {
		if other != g && other.downUntil <= f.now && !other.disconnected {
			g.witnesses.RecordStart(other.name, other.startedAt)
		}
	}
	g.witnesses.RecordRead(f.time())
	if !g.loaded {
		g.witnesses.MarkLoaded()
	}
	g.readAt, g.loaded, g.observed = f.now, true, map[string]prepaid.Observation{}
	g.account, g.next = f.account, f.end
	if grant, exists := g.account.Grants[g.name]; exists && grant.Incarnation == g.incarnationID() {
		g.budget.ConfirmGrant(grant)
	}
	g.budget.DropGrantWritesBefore(g.next)
}

// setRole sets the gateway's role.
func (g *entry) setRole(h *prepaid.HolderState) {
	holders := gateway.Holders("clinics", gateway.Able(g.fleet.members))
	h.Holders = len(holders)
	switch {
	case slices.Contains(holders, g.name):
		h.Role = prepaid.Holder
	case g.account.HoldsByDemand(*h):
		h.Role = prepaid.SelfHolder
	}
}

func (g *entry) incarnationID() int64 { return int64(g.incarnation) }

func (g *entry) clockReading() prepaid.ClockReading {
	return prepaid.ClockReading{
		Wall:   epoch.Add(g.fleet.now + g.minClockOffset).UnixMilli(),
		Uptime: (g.fleet.now - g.bootedAt).Milliseconds(),
		BootID: uint64(g.boots),
	}
}

func (g *entry) holderState() prepaid.HolderState {
	g.sequence++
	h := g.budget.HolderState(g.fleet.time(), prepaid.HolderState{
		Instance: g.name, ReportInterval: reportInterval, PeerAddress: anyPeerAddress, Incarnation: g.incarnationID(), Sequence: g.sequence, StartedAt: g.startedAt, Now: g.clockReading(), LatestWallTime: g.account.LatestWallTime(),
		Witnesses: g.witnesses, AwaitWitnesses: g.witnesses.Awaited(), PeerClocks: g.witnesses.LatestClocks(),
	})
	g.setRole(&h)
	return h
}

// writeGrant writes the grant if it should change. The write may be lost, delayed or
// in conflict with another one.
func (g *entry) writeGrant() {
	f := g.fleet
	if g.disconnected || !g.loaded || f.now-g.readAt > staleAfter {
		return
	}
	g.grantWrittenAt = f.now
	if f.now-g.unmetAt > unmetTTL {
		g.budget.ClearUnmet()
	}
	grant, changed := f.planner.Grant(g.account, f.prepaid, g.holderState())
	if !changed {
		return
	}
	g.budget.BeginGrantWrite(grant.Sequence, g.next, grant.Total)
	if f.rand.Float64() < f.storeFaultRate {
		switch f.rand.IntN(3) {
		case 0: // The write is lost.
			return
		case 1: // The write takes effect later, or not at all.
			late := time.Duration(f.rand.IntN(6000)) * time.Millisecond
			f.delayedWrites = append(f.delayedWrites, delayedWrite{at: g.next, name: g.name, grant: grant, due: f.now + late})
			return
		}
		// Only the response is lost.
	}
	if g.next == f.end {
		f.account, f.end = f.account.WithGrant(g.name, grant), f.end+1
	}
}

// writeReport writes a report, or repeats the last one while its outcome is unknown.
func (g *entry) writeReport() {
	f := g.fleet
	if g.unconfirmedReport == nil {
		report, changed := f.planner.Report(g.account, f.prepaid, g.holderState())
		if !changed || !g.loaded {
			return
		}
		g.unconfirmedReport = &report
		g.budget.BeginReportWrite(f.time(), report.SpendLimit)
	}
	fault := f.rand.Float64() < f.storeFaultRate
	if g.disconnected || (fault && f.rand.IntN(2) == 0) {
		return
	}
	f.account = f.account.WithReport(g.name, *g.unconfirmedReport)
	if fault {
		return
	}
	g.account = g.account.WithReport(g.name, *g.unconfirmedReport)
	g.unconfirmedReport, g.reportedAt = nil, f.now
	g.budget.ConfirmReport()
}

func (g *entry) settleFinished() {
	rest := g.running[:0]
	for _, h := range g.running {
		if h.until > g.fleet.now {
			rest = append(rest, h)
			continue
		}
		g.budget.Settle(h.reservation, h.tokens*97/100)
	}
	g.running = rest
}

func (g *entry) addRequests() {
	f := g.fleet
	g.backlog += g.demand(f.now) * tick.Seconds()
	for g.backlog > 0 {
		// Sizes vary widely, as in the operators' load data.
		tokens := int64(float64(g.size) * (0.2 + f.rand.ExpFloat64()*0.8))
		g.backlog -= float64(tokens)
		g.budget.RecordRequest(f.time(), tokens)
		g.waiting = append(g.waiting, waitingRequest{tokens: tokens, since: f.now})
		f.result.requested += tokens
	}
}

func (g *entry) serveWaiting() {
	f := g.fleet
	rest := g.waiting[:0]
	for _, w := range g.waiting {
		if w.pending == nil && w.loans == nil && f.now > w.since {
			w.pending, _ = g.budget.ReservePending(f.time(), w.tokens, maxLimitWait-(f.now-w.since))
		}
		loansEnded := g.receiveLoans(&w)
		reservation, started := g.tryStart(w)
		switch {
		case started:
			g.running = append(g.running, runningRequest{tokens: w.tokens, reservation: reservation, until: f.now + requestDuration})
			f.result.served += w.tokens
		case w.pending == nil && w.loans == nil && f.now > w.since && (g.borrow(w.tokens, w.firstAsk(f)) || g.requestLoans(&w)):
			rest = append(rest, w)
		case w.loans != nil && !loansEnded:
			rest = append(rest, w)
		case w.loans != nil && f.now-w.since < maxLimitWait:
			// Other gateways are asked for what is still missing.
			w.loans = nil
			rest = append(rest, w)
		case f.now-w.since > w.maxWait():
			g.refuse(w)
		default:
			g.budget.RecordUnmet(w.tokens)
			g.unmetAt = f.now
			rest = append(rest, w)
		}
	}
	g.waiting = rest
}

func (w waitingRequest) maxWait() time.Duration {
	if w.pending != nil {
		return maxLimitWait
	}
	return grantWait
}

func (g *entry) tryStart(w waitingRequest) (prepaid.Reservation, bool) {
	if w.pending != nil {
		return g.budget.Activate(g.fleet.time(), w.pending)
	}
	return g.budget.Reserve(g.fleet.time(), w.tokens)
}

func (f *fleet) gatewayNamed(name string) *entry {
	for _, g := range f.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (g *entry) refuse(w waitingRequest) {
	f := g.fleet
	if w.pending != nil {
		g.budget.Cancel(w.pending)
	}
	g.returnBorrowed()
	f.result.refused += w.tokens
	if w.tokens < f.prepaid*97/100-f.spent() {
		f.result.falselyRefused += w.tokens
	}
}
