// Package prepaid shares the prepaid tokens of workspaces between entries. Each
// entry keeps one record for each workspace, its grant. Grants change only by
// writes on the condition that no other was made meanwhile, so that their sum
// stays within the prepaid total whatever is lost or late. An entry spends from its grant without
// asking anybody, also while it is cut off, but no faster than the terms of its
// newest record allow. So the tokens of a killed entry are known to be unspent
// but for a small part.
package prepaid

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Terms bound what an entry may spend, more with the time since they were sent
// and never more than Total. At first they allow a window: an entry in touch with
// the store writes new terms as it goes, and what the terms allow is lost if the
// entry is killed. Later they allow what an entry needs that is cut off.
type Terms struct {
	// Total is the sum of tokens that the incarnation may spend in its life.
	Total int64 `cbor:"1,keyasint"`
	// Committed is what it had spent and reserved when it wrote the terms.
	Committed int64 `cbor:"2,keyasint"`
	// Window is what it may spend at once beyond that.
	Window int64 `cbor:"3,keyasint"`
	// Rate is the tokens a second that are added after rateDelay.
	Rate int64 `cbor:"4,keyasint"`
	// CutWindow and CutRate are added after cutDelay.
	CutWindow int64 `cbor:"5,keyasint"`
	CutRate   int64 `cbor:"6,keyasint"`
}

const (
	// rateDelay is some times the interval in which an entry writes its terms anew.
	rateDelay = 700 * time.Millisecond
	// cutDelay is longer than an entry that is killed takes to start again.
	cutDelay = 3 * time.Second
)

// limit is the most that may be spent a time after the terms were sent.
func (t Terms) limit(after time.Duration) int64 {
	allowed := t.Committed + t.Window
	if late := after - rateDelay; late > 0 {
		allowed += int64(float64(t.Rate) * late.Seconds())
	}
	if late := after - cutDelay; late >= 0 {
		allowed += t.CutWindow + int64(float64(t.CutRate)*late.Seconds())
	}
	return min(t.Total, allowed)
}

// Clock is what a process can tell of the time when it writes or reads a record.
type Clock struct {
	// Wall is the time of day in ms since 1970. It may jump.
	Wall int64 `cbor:"1,keyasint"`
	// Uptime is the time in ms since the machine started, which counts while it
	// is suspended.
	Uptime int64 `cbor:"2,keyasint"`
	// Boot identifies the start of the machine.
	Boot uint64 `cbor:"3,keyasint"`
}

const (
	// clockError bounds how much later a process may have ended than the clocks of
	// its successor and of the other entries say: an error of all of them at once.
	clockError = 500 * time.Millisecond
	// clockStep is the largest jump of the time of day that the operators know of,
	// and a reserve. Clocks of one machine that differ by more belong to two starts.
	clockStep = 5 * time.Second
)

// since bounds the time from when a record was sent until its writer ended, for a
// successor that reads it.
func (c Clock) since(sent Clock, newest int64) time.Duration {
	wall := time.Duration(max(c.Wall, newest)-sent.Wall) * time.Millisecond
	up := time.Duration(c.Uptime-sent.Uptime) * time.Millisecond
	if c.Boot == sent.Boot && up >= 0 && (up-wall).Abs() < clockStep {
		return up
	}
	return max(0, wall) + clockError
}

// Grant is what one entry holds of a workspace's tokens.
type Grant struct {
	Terms `cbor:"1,keyasint"`
	// Incarnation is the process that holds it. A later process of the same
	// instance closes it: the former one has ended.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence numbers the records of the incarnation.
	Sequence int64 `cbor:"3,keyasint"`
	// Sent is when the record was sent, at the earliest.
	Sent Clock `cbor:"4,keyasint"`
	// Spent is what the incarnation had spent when it wrote the record.
	Spent int64 `cbor:"5,keyasint"`
	// Demand is the tokens a second that callers asked of the entry.
	Demand int64 `cbor:"6,keyasint"`
	// Wanted is what the entry lacks for requests that it had to refuse.
	Wanted int64 `cbor:"7,keyasint,omitempty"`
	// Closed is what earlier incarnations of the instance may have spent.
	Closed int64 `cbor:"8,keyasint,omitempty"`
}

// ParseGrant decodes a record.
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

// Account is all that was granted of one workspace's tokens, by the name of the
// instance that holds it.
type Account map[string]Grant

// With returns the account with another grant of the instance.
func (a Account) With(instance string, g Grant) Account {
	next := maps.Clone(a)
	if next == nil {
		next = Account{}
	}
	next[instance] = g
	return next
}

// Granted is all that was handed out.
func (a Account) Granted() int64 {
	var sum int64
	for _, g := range a {
		sum += g.Closed + g.Total
	}
	return sum
}

// Unspent is the most that can be left of the prepaid total, in grants or not
// handed out.
func (a Account) Unspent(prepaid int64) int64 {
	left := prepaid
	for _, g := range a {
		left -= g.Closed + g.Spent
	}
	return left
}

// Newest is the latest time of day in the account.
func (a Account) Newest() int64 {
	var newest int64
	for _, g := range a {
		newest = max(newest, g.Sent.Wall)
	}
	return newest
}

// closed counts as spent what the holder of a grant may have spent, for a
// successor that reads it at the time.
func (g Grant) closed(now Clock, newest int64) Grant {
	return Grant{Closed: g.Closed + g.limit(now.since(g.Sent, newest))}
}
