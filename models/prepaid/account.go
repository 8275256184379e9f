// Package prepaid shares the prepaid tokens of workspaces between entries. An
// entry keeps two records for each workspace in the platform's store:
//
//   - its grant, which changes only by writes on the condition that no other grant
//     was written meanwhile, so that the sum of all grants stays within the prepaid
//     total whatever is lost or late;
//   - its report, which it writes in order and without a condition. It bounds what
//     the entry may spend of its grant until the next one.
//
// An entry spends from its grant without asking anybody, also while it is cut off.
// What a killed entry may have spent is known from its last report.
package prepaid

import (
	"maps"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Grant is what one entry holds of a workspace's tokens.
type Grant struct {
	// Incarnation is the process that holds it. A later process of the same
	// instance closes it: the former one has ended.
	Incarnation int64 `cbor:"1,keyasint"`
	// Sequence numbers the grants of the incarnation.
	Sequence int64 `cbor:"2,keyasint"`
	// Total is the sum of tokens that the incarnation may spend in its life.
	Total int64 `cbor:"3,keyasint"`
	// PriorSpent is what earlier incarnations of the instance may have spent.
	PriorSpent int64 `cbor:"4,keyasint,omitempty"`
	// PeerAddress is where the holder lends tokens to other entries.
	PeerAddress netip.AddrPort `cbor:"5,keyasint"`
}

// Report is what an entry says of one workspace.
type Report struct {
	SpendLimit `cbor:"1,keyasint"`
	// Incarnation is the process that wrote it.
	Incarnation int64 `cbor:"2,keyasint"`
	// SentAt is when it was sent, at the earliest.
	SentAt ClockReading `cbor:"3,keyasint"`
	// Spent is what the incarnation had spent.
	Spent int64 `cbor:"4,keyasint"`
	// Demand is the tokens a second that callers asked of the entry.
	Demand int64 `cbor:"5,keyasint"`
	// Shortfall is what the entry lacks for requests that it had to refuse.
	Shortfall int64 `cbor:"6,keyasint,omitempty"`
	// RecentRequests is the number of requests in the memory of the demand, in hundredths.
	RecentRequests int64 `cbor:"7,keyasint,omitempty"`
}

// SpendLimit bound what an entry may spend, more with the time since they were sent.
// At first they allow a window: an entry in touch with the store reports again as
// it goes, and what the terms allow is lost if the entry is killed. Later they
// allow what an entry needs that is cut off.
type SpendLimit struct {
	// Committed is what it had spent and reserved when it wrote the terms.
	Committed int64 `cbor:"1,keyasint"`
	// Burst is what it may spend at once beyond that.
	Burst int64 `cbor:"2,keyasint"`
	// Rate is the tokens a second that are added after rateDelay.
	Rate int64 `cbor:"3,keyasint"`
	// DisconnectedBurst and, for cutGrowth, CutRate are added after cutDelay.
	DisconnectedBurst int64 `cbor:"4,keyasint"`
	DisconnectedRate  int64 `cbor:"5,keyasint"`
}

const (
	// rateDelay is some times the interval in which an entry reports.
	rateDelay = 700 * time.Millisecond
	// cutDelay is longer than an entry that is killed takes to start again.
	cutDelay = 3 * time.Second
	// cutGrowth is how long CutRate counts. With cutDelay it is most of the longest
	// usual cut; what terms allow in a longer outage is lost if entries are killed.
	cutGrowth = 3 * time.Second
)

// limit is the most that may be spent a time after the terms were sent.
func (t SpendLimit) limit(after time.Duration) int64 {
	allowed := t.Committed + t.Burst
	if late := after - rateDelay; late > 0 {
		allowed += int64(float64(t.Rate) * late.Seconds())
	}
	if late := after - cutDelay; late >= 0 {
		allowed += t.DisconnectedBurst + int64(float64(t.DisconnectedRate)*min(late, cutGrowth).Seconds())
	}
	return allowed
}

// ClockReading is what a process can tell of the time when it writes or reads a record.
type ClockReading struct {
	// Wall is the time of day in ms since 1970. It may jump.
	Wall int64 `cbor:"1,keyasint"`
	// Uptime is the time in ms since the machine started, which counts while it
	// is suspended.
	Uptime int64 `cbor:"2,keyasint"`
	// BootID identifies the start of the machine.
	BootID uint64 `cbor:"3,keyasint"`
}

const (
	// clockError bounds how much later a process may have ended than the clocks of
	// its successor and of the other entries say: an error of all of them at once.
	clockError = 500 * time.Millisecond
	// clockStep is the largest jump of the time of day that the operators know of,
	// and a reserve. Clocks of one machine that differ by more belong to two starts.
	clockStep = 5 * time.Second
)

// since bounds the time from when a report was sent until its writer ended, for a
// successor that began at a time and reads it now. A time of day that was behind
// when the successor began has often been corrected since, so only the uptime is
// taken from then.
func since(sent, began, now ClockReading, newest int64) time.Duration {
	wall := time.Duration(began.Wall-sent.Wall) * time.Millisecond
	up := time.Duration(began.Uptime-sent.Uptime) * time.Millisecond
	if began.BootID == sent.BootID && up >= 0 && (up-wall).Abs() < clockStep {
		return up
	}
	wall = time.Duration(max(now.Wall, newest)-sent.Wall) * time.Millisecond
	return max(0, wall) + clockError
}

// ParseGrant decodes a grant.
func ParseGrant(data []byte) (Grant, error) {
	var g Grant
	err := cbor.Unmarshal(data, &g)
	return g, errors.Wrap(err, "decode grant")
}

// Encode returns the record.
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

// Encode returns the record.
func (r Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode report")
}

// Account is all that is known of one workspace's tokens, by the name of the
// instance.
type Account struct {
	Grants  map[string]Grant
	Reports map[string]Report
}

// WithGrant returns the account with another grant of the instance.
func (a Account) WithGrant(instance string, g Grant) Account {
	a.Grants = maps.Clone(a.Grants)
	if a.Grants == nil {
		a.Grants = map[string]Grant{}
	}
	a.Grants[instance] = g
	return a
}

// WithReport returns the account with another report of the instance.
func (a Account) WithReport(instance string, r Report) Account {
	a.Reports = maps.Clone(a.Reports)
	if a.Reports == nil {
		a.Reports = map[string]Report{}
	}
	a.Reports[instance] = r
	return a
}

// report is what the holder of a grant reported of it.
func (a Account) report(instance string, g Grant) Report {
	if r := a.Reports[instance]; r.Incarnation == g.Incarnation {
		return r
	}
	return Report{}
}

// Granted is all that was handed out.
func (a Account) Granted() int64 {
	var sum int64
	for _, g := range a.Grants {
		sum += g.PriorSpent + g.Total
	}
	return sum
}

// Unspent is the most that can be left of the prepaid total, in grants or not
// handed out.
func (a Account) Unspent(prepaid int64) int64 {
	left := prepaid
	for name, g := range a.Grants {
		left -= g.PriorSpent + a.report(name, g).Spent
	}
	return left
}

// LatestWallTime is the latest time of day in the account.
func (a Account) LatestWallTime() int64 {
	var newest int64
	for _, r := range a.Reports {
		newest = max(newest, r.SentAt.Wall)
	}
	return newest
}

// closed counts as spent what the former process of the holder's instance may have
// spent of its grant. A process that did not report on its grant has spent nothing
// of it.
func (a Account) closed(h HolderState) Grant {
	g := a.Grants[h.Instance]
	r := a.report(h.Instance, g)
	if r.Incarnation == 0 {
		return Grant{PriorSpent: g.PriorSpent}
	}
	return Grant{PriorSpent: g.PriorSpent + min(g.Total, r.limit(since(r.SentAt, h.StartedAt, h.Now, h.LatestWallTime)))}
}
