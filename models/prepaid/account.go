// Package prepaid shares the prepaid tokens of workspaces between entries. The
// record of each workspace's account names what was granted to whom; it changes
// only by conditional writes, so that the sum of all grants stays within the
// prepaid total whatever is lost or late. An entry spends from its grant without
// asking anybody, also while it is cut off.
package prepaid

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// Grant is what one entry holds of an account.
type Grant struct {
	// Incarnation is the process that holds it. A later process of the same
	// instance closes it: the former one has ended.
	Incarnation string `json:"incarnation"`
	// Total is the sum of tokens that the incarnation may spend in its life.
	Total int64 `json:"total"`
	// Spent is what the incarnation had spent when it wrote the record.
	Spent int64 `json:"spent"`
	// Demand is the tokens a second that callers asked of the entry.
	Demand float64 `json:"demand"`
	// Wanted is what the entry lacks for requests that it had to refuse.
	Wanted int64 `json:"wanted,omitempty"`
}

// free is the most that the holder may have left.
func (g Grant) free() int64 { return g.Total - g.Spent }

// Account is the record of one workspace.
type Account struct {
	// Closed is what ended incarnations held and may have spent.
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

func (a Account) clone() Account {
	a.Grants = maps.Clone(a.Grants)
	if a.Grants == nil {
		a.Grants = map[string]Grant{}
	}
	return a
}
