// Package prepaid divides the prepaid tokens of workspaces among gateways. For
// each workspace, a gateway keeps two records in the platform's store:
//
//   - its grant, which is written only if no other grant was written since the
//     last read. The sum of all grants therefore never exceeds the prepaid total,
//     even if writes are lost or delayed;
//   - its report, which is written in sequence and without a condition. It limits
//     what the gateway may spend of its grant until the next report.
//
// A gateway spends from its grant without contacting the store or other gateways,
// so it continues to do so while disconnected. The last report of a gateway that
// was killed bounds what it may have spent.
package prepaid

import (
	"maps"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Grant assigns a part of a workspace's tokens to one gateway.
type Grant struct {
	// Incarnation identifies the process that holds the grant. Once a later process
	// of the same instance runs, this one has ended, and the later one replaces the
	// grant.
	Incarnation int64 `cbor:"1,keyasint"`
	// Sequence numbers the grants of the incarnation.
	Sequence int64 `cbor:"2,keyasint"`
	// Total is the number of tokens that the incarnation may spend over its lifetime.
	Total int64 `cbor:"3,keyasint"`
	// PriorSpent is an upper bound of what earlier incarnations of the instance spent.
	PriorSpent int64 `cbor:"4,keyasint,omitempty"`
	// Era is the store's era in which the grant was decided.
	Era int64 `cbor:"6,keyasint,omitempty"`
	// Base is what the instance had, PriorSpent and Total, when that era began.
	Base int64 `cbor:"7,keyasint,omitempty"`
	// Restored is whether the store lost grants of the workspace before that era.
	Restored bool `cbor:"8,keyasint,omitempty"`
	// PeerAddress is the address at which the gateway lends tokens to others, or the zero
	// value if it doesn't.
	PeerAddress netip.AddrPort `cbor:"5,keyasint"`
	// PriorReserved, PriorPermitted and PriorUnreported are the parts of PriorSpent of which
	// nobody knows whether they were spent: what requests in flight held at the last reports,
	// what spending limits permitted beyond that, and grants without a report. ClosedAt is the
	// wall-clock time of the last closing in ms since 1970.
	PriorReserved   int64 `cbor:"9,keyasint,omitempty"`
	PriorPermitted  int64 `cbor:"10,keyasint,omitempty"`
	PriorUnreported int64 `cbor:"11,keyasint,omitempty"`
	ClosedAt        int64 `cbor:"12,keyasint,omitempty"`
}

// Report is a gateway's report on one workspace.
type Report struct {
	SpendLimit `cbor:"1,keyasint"`
	// Incarnation identifies the process that wrote the report.
	Incarnation int64 `cbor:"2,keyasint"`
	// SentAt is the earliest time at which the report was sent.
	SentAt ClockReading `cbor:"3,keyasint"`
	// Spent is the number of tokens that the incarnation had spent.
	Spent int64 `cbor:"4,keyasint"`
	// Demand is the demand of callers at the gateway in tokens per second, and LoanDemand
	// that of other gateways for loans.
	Demand     int64 `cbor:"5,keyasint"`
	LoanDemand int64 `cbor:"8,keyasint,omitempty"`
	// Shortfall is the number of tokens missing for requests that were refused.
	Shortfall int64 `cbor:"6,keyasint,omitempty"`
	// RecentRequests is the decayed number of requests, in hundredths.
	RecentRequests int64 `cbor:"7,keyasint,omitempty"`
	// Era is the store's era in which the report was written.
	Era int64 `cbor:"9,keyasint,omitempty"`
	// PeerClocks are the clocks of other gateways, in one report of each write.
	PeerClocks []PeerClock `cbor:"10,keyasint,omitempty"`
}

// SpendLimit bounds what a gateway may spend as a function of the time since the
// limit was sent. At first it permits only a burst: a gateway connected to the
// store renews the limit with each report, and if it is killed, everything that
// the limit permits is treated as spent. Later the limit permits what a
// disconnected gateway needs.
type SpendLimit struct {
	// Committed is what was spent or held when the limit was sent.
	Committed int64 `cbor:"1,keyasint"`
	// Burst is what may be spent at once in addition to Committed.
	Burst int64 `cbor:"2,keyasint"`
	// Rate is the number of tokens per second that are added after rateDelay.
	Rate int64 `cbor:"3,keyasint"`
	// DisconnectedBurst is added after disconnectedDelay, and DisconnectedRate in
	// tokens per second for disconnectedRateSpan from then on.
	DisconnectedBurst int64 `cbor:"4,keyasint"`
	DisconnectedRate  int64 `cbor:"5,keyasint"`
}

const (
	// rateDelay is a multiple of the interval between two reports.
	rateDelay = 700 * time.Millisecond
	// disconnectedDelay is longer than a killed gateway takes to restart.
	disconnectedDelay = 3 * time.Second
	// disconnectedRateSpan and disconnectedDelay together cover most of the longest
	// usual disconnection. What a limit permits in a longer outage is lost if
	// gateways are killed.
	disconnectedRateSpan = 3 * time.Second
)

// tokensAfter returns the most that may be spent once this time has elapsed since
// the limit was sent.
func (l SpendLimit) tokensAfter(elapsed time.Duration) int64 {
	allowed := l.Committed + l.Burst
	if late := elapsed - rateDelay; late > 0 {
		allowed += int64(float64(l.Rate) * late.Seconds())
	}
	if late := elapsed - disconnectedDelay; late >= 0 {
		allowed += l.DisconnectedBurst + int64(float64(l.DisconnectedRate)*min(late, disconnectedRateSpan).Seconds())
	}
	return allowed
}

// ClockReading holds the clocks of a process at the time when it writes or reads a
// record.
type ClockReading struct {
	// Wall is the wall-clock time in ms since 1970. It may jump.
	Wall int64 `cbor:"1,keyasint"`
	// Uptime is the time in ms since the machine booted, including the time that it
	// was suspended.
	Uptime int64 `cbor:"2,keyasint"`
	// BootID identifies the boot of the machine.
	BootID uint64 `cbor:"3,keyasint"`
}

const (
	// maxClockError bounds how far the wall clocks of the successor and of all other
	// gateways may be behind at the same time, so that a process ended later than
	// they indicate.
	maxClockError = 500 * time.Millisecond
	// maxClockStep is the largest jump of a wall clock known in the operators'
	// deployments, plus a margin. If uptime and wall-clock time differ by more, the
	// two readings are from different boots.
	maxClockStep = 5 * time.Second
)

// maxTimeUntilExit bounds the time from sending a report until its writer exited.
// The successor of the writer started at the reading started and reads the report
// at the reading now. A wall clock that was behind when the successor started has
// often been corrected since, so the wall-clock time of the start is derived from
// now and the uptime since then. latestWall is the latest wall-clock time in all
// reports.
func maxTimeUntilExit(sent, started, now ClockReading, latestWall int64) time.Duration {
	if sent.sameBoot(started) {
		return started.uptimeSince(sent)
	}
	sinceStart := max(0, now.Uptime-started.Uptime)
	wall := time.Duration(max(now.Wall, latestWall)-sinceStart-sent.Wall) * time.Millisecond
	return max(0, wall) + maxClockError
}

// timeUntilExit bounds the time from sending a report until its writer, the predecessor of the
// holder's process, exited: by the machine's uptime, by that of a witness, or by the time of day.
func (h HolderState) timeUntilExit(r Report) time.Duration {
	if !r.SentAt.sameBoot(h.StartedAt) && h.Witnesses != nil {
		if bound, found := h.Witnesses.MaxTimeSince(r); found {
			return bound
		}
	}
	return maxTimeUntilExit(r.SentAt, h.StartedAt, h.Now, h.LatestWallTime)
}

// awaitsWitness reports whether a witness may still tell when the predecessor, whose grant is g,
// exited.
func (a Account) awaitsWitness(h HolderState, g Grant) bool {
	r := a.report(h.Instance, g)
	if !h.AwaitWitnesses || r.Incarnation == 0 || r.SentAt.sameBoot(h.StartedAt) {
		return false
	}
	_, found := h.Witnesses.MaxTimeSince(r)
	return !found && h.Witnesses.Expected(r)
}

// ParseGrant decodes a grant.
func ParseGrant(data []byte) (Grant, error) {
	var g Grant
	err := cbor.Unmarshal(data, &g)
	return g, errors.Wrap(err, "decode grant")
}

// Encode encodes the grant for the store.
func (g Grant) Encode() ([]byte, error) {
	data, err := cbor.Marshal(g)
	return data, errors.Wrap(err, "encode grant")
}

// ParseReport decodes a report.
func ParseReport(data []byte) (Report, error) {
	var r Report
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode report")
}

// Encode encodes the report for the store.
func (r Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode report")
}

// Account holds the grants and reports of one workspace, by instance name.
type Account struct {
	Grants  map[string]Grant
	Reports map[string]Report
}

// WithGrant returns a copy of the account in which g is the grant of the instance.
func (a Account) WithGrant(instance string, g Grant) Account {
	a.Grants = maps.Clone(a.Grants)
	if a.Grants == nil {
		a.Grants = map[string]Grant{}
	}
	a.Grants[instance] = g
	return a
}

// WithReport returns a copy of the account in which r is the report of the
// instance.
func (a Account) WithReport(instance string, r Report) Account {
	a.Reports = maps.Clone(a.Reports)
	if a.Reports == nil {
		a.Reports = map[string]Report{}
	}
	a.Reports[instance] = r
	return a
}

// report returns the last report of the incarnation that holds the grant, or the
// zero Report if there is none.
func (a Account) report(instance string, g Grant) Report {
	if r := a.Reports[instance]; r.Incarnation == g.Incarnation {
		return r
	}
	return Report{}
}

// Granted returns the sum of all grants, including those of earlier incarnations.
func (a Account) Granted() int64 {
	var sum int64
	for _, g := range a.Grants {
		sum += g.PriorSpent + g.Total
	}
	return sum
}

// free returns how many tokens are not granted. Once the store has returned from a copy,
// grants that it lost are unknown, so that only two kinds of tokens are free: those paid
// in since, beyond withheld, and those that gateways gave back of what they had when the
// era began. withheld is 0 in the first era.
func (a Account) free(prepaid, withheld, era int64) int64 {
	if withheld == 0 {
		return prepaid - a.Granted()
	}
	free := max(0, prepaid-withheld)
	for _, g := range a.Grants {
		if g.Era == era {
			free += g.Base - g.PriorSpent - g.Total
		}
	}
	return free
}

// grantable returns how many tokens are free or granted and, as far as is known, unspent.
// What is withheld is in neither.
func (a Account) grantable(prepaid int64, h HolderState) int64 {
	sum := max(0, a.free(prepaid, h.Withheld, h.Era)) + a.Grants[h.Instance].Total - h.committed()
	for name, g := range a.Grants {
		if name != h.Instance {
			sum += g.Total - a.report(name, g).Spent
		}
	}
	return sum
}

// Restored reports whether the store lost grants of the account when this era began or
// before.
func (a Account) Restored(era int64) bool {
	for _, g := range a.Grants {
		if g.Era < era || g.Restored {
			return true
		}
	}
	return false
}

// Unspent returns an upper bound of what is left of the prepaid total, whether
// granted or not.
func (a Account) Unspent(prepaid int64) int64 {
	left := prepaid
	for name, g := range a.Grants {
		left -= g.PriorSpent + a.report(name, g).Spent
	}
	return left
}

// LatestWallTime returns the latest wall-clock time in all reports.
func (a Account) LatestWallTime() int64 {
	var latest int64
	for _, r := range a.Reports {
		latest = max(latest, r.SentAt.Wall)
	}
	return latest
}
