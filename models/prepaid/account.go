// Package prepaid shares the prepaid tokens of workspaces between entries. The
// record of each workspace's account names what was granted to whom; it changes
// only by conditional writes, so that the sum of all grants stays within the
// prepaid total whatever is lost or late. An entry spends from its grant without
// asking anybody, also while it is cut off, but no faster than the terms of its
// newest record allow. So the tokens of a killed entry are known to be unspent
// but for a small part.
package prepaid

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
)

// Terms bound what an entry may spend, more with the time since they were sent
// and never more than Total. At first they allow a window: an entry in touch with
// the store writes new terms as it goes, and what the terms allow is lost if the
// entry is killed. Later they allow what an entry needs that is cut off.
type Terms struct {
	// Total is the sum of tokens that the incarnation may spend in its life.
	Total int64 `json:"total"`
	// Committed is what it had spent and reserved when it wrote the terms.
	Committed int64 `json:"committed"`
	// Window is what it may spend at once beyond that.
	Window int64 `json:"window"`
	// Rate is the tokens a second that are added after rateDelay.
	Rate float64 `json:"rate"`
	// CutWindow and CutRate are added after cutDelay.
	CutWindow int64   `json:"cutWindow"`
	CutRate   float64 `json:"cutRate"`
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
		allowed += int64(t.Rate * late.Seconds())
	}
	if late := after - cutDelay; late >= 0 {
		allowed += t.CutWindow + int64(t.CutRate*late.Seconds())
	}
	return min(t.Total, allowed)
}

// Clock is what a process can tell of the time when it writes or reads a record.
type Clock struct {
	// Wall is the time of day in ms since 1970. It may jump.
	Wall int64 `json:"wall"`
	// Uptime is the time in ms since the machine started, which counts while it
	// is suspended.
	Uptime int64 `json:"uptime"`
	// Boot identifies the start of the machine.
	Boot string `json:"boot"`
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

// Grant is what one entry holds of an account.
type Grant struct {
	Terms
	// Incarnation is the process that holds it. A later process of the same
	// instance closes it: the former one has ended.
	Incarnation string `json:"incarnation"`
	// Sequence numbers the records of the incarnation.
	Sequence int64 `json:"sequence"`
	// Sent is when the record was sent, at the earliest.
	Sent Clock `json:"sent"`
	// Spent is what the incarnation had spent when it wrote the record.
	Spent int64 `json:"spent"`
	// Demand is the tokens a second that callers asked of the entry.
	Demand float64 `json:"demand"`
	// Wanted is what the entry lacks for requests that it had to refuse.
	Wanted int64 `json:"wanted,omitempty"`
}

// Account is the record of one workspace.
type Account struct {
	// Closed is what ended incarnations may have spent.
	Closed int64 `json:"closed"`
	// Grants are by the name of the instance.
	Grants map[string]Grant `json:"grants"`
}

// ParseAccount decodes a record.
func ParseAccount(data []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return Account{}, errors.Wrap(err, "decode prepaid account")
	}
	if a.Grants == nil {
		a.Grants = map[string]Grant{}
	}
	return a, nil
}

// Encode returns the record.
func (a Account) Encode() ([]byte, error) {
	data, err := json.Marshal(a)
	return data, errors.Wrap(err, "encode prepaid account")
}

// Granted is all that was handed out.
func (a Account) Granted() int64 {
	sum := a.Closed
	for _, g := range a.Grants {
		sum += g.Total
	}
	return sum
}

// Unspent is the most that can be left of the prepaid total, in grants or not
// handed out.
func (a Account) Unspent(prepaid int64) int64 {
	left := prepaid - a.Closed
	for _, g := range a.Grants {
		left -= g.Spent
	}
	return left
}

// Newest is the latest time of day in the account's grants.
func (a Account) Newest() int64 {
	var newest int64
	for _, g := range a.Grants {
		newest = max(newest, g.Sent.Wall)
	}
	return newest
}

// close counts as spent what the former process of an instance may have spent,
// and drops its grant.
func (a *Account) close(instance string, now Clock, newest int64) {
	g := a.Grants[instance]
	a.Closed += g.limit(now.since(g.Sent, newest))
	delete(a.Grants, instance)
}

func (a Account) clone() Account {
	a.Grants = maps.Clone(a.Grants)
	if a.Grants == nil {
		a.Grants = map[string]Grant{}
	}
	return a
}
