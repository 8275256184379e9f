package prepaid_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/prepaid"
)

const (
	tick          = 50 * time.Millisecond
	writeInterval = 400 * time.Millisecond
	// reportInterval is how often an entry reports.
	reportInterval = 250 * time.Millisecond
	// staleAfter is the age of an entry's view at which it writes no more.
	staleAfter = 600 * time.Millisecond
	// wantedMemory is how long a request counts as wanting tokens.
	wantedMemory = time.Second
	// assumedEntries is the number of entries until their grants are known.
	assumedEntries = 4
	// runTime is how long a request runs.
	runTime = 600 * time.Millisecond
	// patientFor is how long a request waits for a larger grant, and longestWait how
	// long until the terms cover it.
	patientFor  = 400 * time.Millisecond
	longestWait = 2 * time.Second
	// mostAsked is how many entries are asked for what a request lacks.
	mostAsked = 8
)

// anyPeer stands for the address of each entry: they are told apart by name.
var anyPeer = netip.MustParseAddrPort("10.0.0.1:80")

var epoch = time.Unix(1_700_000_000, 0)

// fleet is some entries that share the tokens of one workspace through a store,
// in virtual time.
type fleet struct {
	rand    *rand.Rand
	now     time.Duration
	prepaid int64
	planner *prepaid.Planner
	entries []*entry

	// account and end are the store's; late are grants written without an answer
	// that may still take effect.
	account prepaid.Account
	end     int64
	late    []lateWrite
	// storeFaults is the share of writes that are lost, answered late or made late.
	storeFaults float64

	// used is what ended processes spent or held.
	used   int64
	result result
}

// result is how callers fared.
type result struct {
	asked   int64
	served  int64
	refused int64
	// owed are the tokens refused though the prepaid total would have covered them.
	owed int64
}

type lateWrite struct {
	at    int64
	name  string
	grant prepaid.Grant
	due   time.Duration
}

type entry struct {
	fleet       *fleet
	name        string
	incarnation int
	began       prepaid.ClockReading
	purse       *prepaid.LocalBudget
	// account and next are the entry's view of the store's.
	account prepaid.Account
	next    int64
	viewed  time.Duration
	known   bool
	// report is a report whose outcome is not known.
	report   *prepaid.Report
	reported time.Duration
	sequence int64
	written  time.Duration
	wanted   time.Duration
	holds    []hold
	waiting  []waiting

	cut     bool
	down    time.Duration
	dead    bool
	alone   bool
	booted  time.Duration
	boots   int
	offset  time.Duration
	lowest  time.Duration
	demand  func(time.Duration) float64
	size    int64
	backlog float64
}

type hold struct {
	tokens int64
	part   prepaid.Reservation
	until  time.Duration
}

type waiting struct {
	tokens  int64
	since   time.Duration
	booking *prepaid.PendingReservation
}

func newFleet(seed uint64, total int64, demands ...func(time.Duration) float64) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), prepaid: total, planner: prepaid.NewPlanner(),
	}
	for i, demand := range demands {
		e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i), demand: demand, size: 12_000}
		f.entries = append(f.entries, e)
		e.start()
	}
	return f
}

// resize sets the mean size of requests, unless it is 0.
func (f *fleet) resize(size int64) {
	for _, e := range f.entries {
		if size > 0 {
			e.size = size
		}
	}
}

func (f *fleet) time() time.Time { return epoch.Add(f.now) }

// run lets the time pass until it is at.
func (f *fleet) run(at time.Duration) {
	for f.now < at {
		f.now += tick
		f.applyLate()
		for _, i := range f.rand.Perm(len(f.entries)) {
			f.entries[i].step()
		}
	}
}

func (f *fleet) applyLate() {
	rest := f.late[:0]
	for _, w := range f.late {
		switch {
		case w.due > f.now:
			rest = append(rest, w)
		case w.at == f.end:
			f.account, f.end = f.account.WithGrant(w.name, w.grant), f.end+1
		}
	}
	f.late = rest
}

// spent is all that was spent or may be by requests under way.
func (f *fleet) spent() int64 {
	sum := f.used
	for _, e := range f.entries {
		if e.down <= f.now {
			sum += e.own()
		}
	}
	return sum
}

// start begins an incarnation.
func (e *entry) start() {
	e.incarnation++
	e.purse = prepaid.NewLocalBudget(e.fleet.time(), float64(e.fleet.prepaid)/45/assumedEntries)
	e.purse.MarkStarted(e.fleet.time())
	e.account, e.next, e.known, e.report = prepaid.Account{}, 0, false, nil
	e.holds, e.waiting, e.dead = nil, nil, false
	e.lowest = e.offset
	e.began = e.clock()
}

// kill ends the incarnation; the next one starts after the pause.
func (e *entry) kill(pause time.Duration, powerOff bool) {
	if e.down > e.fleet.now {
		return
	}
	e.fleet.used += e.own()
	e.dead = true
	e.down = e.fleet.now + pause
	if powerOff {
		e.boots++
		e.booted = e.down
	}
}

// own is what was spent and what requests under way may spend. Bookings have not
// begun.
func (e *entry) own() int64 {
	h := e.purse.HolderState(e.fleet.time(), prepaid.HolderState{})
	own := h.Spent + h.Held
	for _, w := range e.waiting {
		if w.booking != nil {
			own -= w.booking.Held()
		}
	}
	return own
}

func (e *entry) step() {
	f := e.fleet
	if e.down > f.now {
		return
	}
	if e.down == f.now && e.down > 0 {
		e.start()
	}
	e.lowest = min(e.lowest, e.offset)
	e.read()
	e.finish()
	e.arrive()
	e.serve()
	if f.now-e.written >= writeInterval || len(e.waiting) > 0 {
		e.write()
	}
	if f.now-e.reported >= reportInterval || len(e.waiting) > 0 {
		e.tell()
	}
}

func (e *entry) read() {
	f := e.fleet
	if e.cut {
		return
	}
	e.viewed, e.known = f.now, true
	e.account, e.next = f.account, f.end
	if g, held := e.account.Grants[e.name]; held && g.Incarnation == e.id() {
		e.purse.ConfirmGrant(g)
	}
	e.purse.DropGrantWritesBefore(e.next)
}

func (e *entry) id() int64 { return int64(e.incarnation) }

func (e *entry) clock() prepaid.ClockReading {
	return prepaid.ClockReading{
		Wall:   epoch.Add(e.fleet.now + e.lowest).UnixMilli(),
		Uptime: (e.fleet.now - e.booted).Milliseconds(),
		BootID: uint64(e.boots),
	}
}

func (e *entry) holder() prepaid.HolderState {
	e.sequence++
	return e.purse.HolderState(e.fleet.time(), prepaid.HolderState{
		Instance: e.name, PeerAddress: anyPeer, Incarnation: e.id(), Sequence: e.sequence, StartedAt: e.began, Now: e.clock(), LatestWallTime: e.account.LatestWallTime(),
	})
}

// write writes the grant, with whatever the store makes of that.
func (e *entry) write() {
	f := e.fleet
	if e.cut || !e.known || f.now-e.viewed > staleAfter {
		return
	}
	e.written = f.now
	if f.now-e.wanted > wantedMemory {
		e.purse.ClearUnmet()
	}
	grant, changed := f.planner.Grant(e.account, f.prepaid, e.holder())
	if !changed {
		return
	}
	e.purse.BeginGrantWrite(grant.Sequence, e.next, grant.Total)
	if f.rand.Float64() < f.storeFaults {
		switch f.rand.IntN(3) {
		case 0: // The request is lost.
			return
		case 1: // It takes effect later, or not at all.
			late := time.Duration(f.rand.IntN(6000)) * time.Millisecond
			f.late = append(f.late, lateWrite{at: e.next, name: e.name, grant: grant, due: f.now + late})
			return
		}
		// The answer is lost.
	}
	if e.next == f.end {
		f.account, f.end = f.account.WithGrant(e.name, grant), f.end+1
	}
}

// tell writes a report, or the last one again while its outcome is not known.
func (e *entry) tell() {
	f := e.fleet
	if e.report == nil {
		report, changed := f.planner.Report(e.account, f.prepaid, e.holder())
		if !changed || !e.known {
			return
		}
		e.report = &report
		e.purse.BeginReportWrite(f.time(), report.SpendLimit)
	}
	fault := f.rand.Float64() < f.storeFaults
	if e.cut || (fault && f.rand.IntN(2) == 0) {
		return
	}
	f.account = f.account.WithReport(e.name, *e.report)
	if fault {
		return
	}
	e.account = e.account.WithReport(e.name, *e.report)
	e.report, e.reported = nil, f.now
	e.purse.ConfirmReport()
}

func (e *entry) finish() {
	rest := e.holds[:0]
	for _, h := range e.holds {
		if h.until > e.fleet.now {
			rest = append(rest, h)
			continue
		}
		e.purse.Settle(h.part, h.tokens*97/100)
	}
	e.holds = rest
}

func (e *entry) arrive() {
	f := e.fleet
	e.backlog += e.demand(f.now) * tick.Seconds()
	for e.backlog > 0 {
		// Sizes spread widely, as on the operators' sheets.
		tokens := int64(float64(e.size) * (0.2 + f.rand.ExpFloat64()*0.8))
		e.backlog -= float64(tokens)
		e.purse.RecordRequest(f.time(), tokens)
		e.waiting = append(e.waiting, waiting{tokens: tokens, since: f.now})
		f.result.asked += tokens
	}
}

func (e *entry) serve() {
	f := e.fleet
	rest := e.waiting[:0]
	for _, w := range e.waiting {
		if w.booking == nil && f.now > w.since {
			w.booking, _ = e.purse.ReservePending(f.time(), w.tokens, longestWait-(f.now-w.since))
		}
		part, begun := e.begins(w)
		switch {
		case begun:
			e.holds = append(e.holds, hold{tokens: w.tokens, part: part, until: f.now + runTime})
			f.result.served += w.tokens
		case w.booking == nil && f.now > w.since && e.borrow(w.tokens):
			rest = append(rest, w)
		case f.now-w.since > w.patience():
			e.refuse(w)
		default:
			e.purse.RecordUnmet(w.tokens)
			e.wanted = f.now
			rest = append(rest, w)
		}
	}
	e.waiting = rest
}

func (w waiting) patience() time.Duration {
	if w.booking != nil {
		return longestWait
	}
	return patientFor
}

func (e *entry) begins(w waiting) (prepaid.Reservation, bool) {
	if w.booking != nil {
		return e.purse.Activate(e.fleet.time(), w.booking)
	}
	return e.purse.Reserve(e.fleet.time(), w.tokens)
}

// borrow asks other entries for what a request lacks. Answers get lost at times.
func (e *entry) borrow(tokens int64) bool {
	f := e.fleet
	var asked []string
	for {
		lack := e.purse.Shortfall(f.time(), tokens)
		lenders := slices.DeleteFunc(e.account.Lenders(e.name, f.now-e.viewed), func(l prepaid.Lender) bool {
			return slices.Contains(asked, l.Instance)
		})
		willing := prepaid.SelectLenders(lenders, lack, mostAsked-len(asked))
		if lack <= 0 || len(willing) == 0 {
			return lack <= 0
		}
		peer := f.named(willing[f.rand.IntN(len(willing))].Instance)
		asked = append(asked, peer.name)
		if e.alone || peer.alone || peer.dead {
			continue
		}
		if lent := peer.purse.Lend(f.time(), lack); f.rand.Float64() >= f.storeFaults {
			e.purse.Borrow(lent)
		}
	}
}

func (f *fleet) named(name string) *entry {
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *entry) refuse(w waiting) {
	f := e.fleet
	if w.booking != nil {
		e.purse.Cancel(w.booking)
	}
	f.result.refused += w.tokens
	if w.tokens < f.prepaid*97/100-f.spent() {
		f.result.owed += w.tokens
	}
}
