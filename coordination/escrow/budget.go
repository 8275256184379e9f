// Package escrow keeps prepaid budgets that many holders spend from at once
// without ever overspending them.
//
// Tokens move from the budget to a holder by a grant, and are settled or
// returned from there. What a holder has and has not proven unspent counts as
// outstanding, so that settled + outstanding never exceeds what was topped up.
// A Budget is pure state, to be folded from an ordered log: whether a grant is
// covered is decided by its position.
package escrow

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// MaxTokens bounds the sum of all top-ups of one budget.
const MaxTokens = math.MaxInt64 / 4

// UncoveredError says that a budget does not cover a grant.
type UncoveredError struct {
	// Want is the number of tokens asked for.
	Want int64
	// Free is the number of tokens neither settled nor outstanding.
	Free int64
}

// Error implements error.
func (e *UncoveredError) Error() string {
	return fmt.Sprintf("grant of %d tokens not covered, %d free", e.Want, e.Free)
}

// DuplicateError says that a move or top-up was applied before.
type DuplicateError struct{}

// Error implements error.
func (e *DuplicateError) Error() string { return "applied before" }

// NotHeldError says that a holder has less outstanding than was to be settled
// or returned.
type NotHeldError struct {
	Holder string
	Want   int64
	Held   int64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("%s holds %d tokens, not %d", e.Holder, e.Held, e.Want)
}

// InvalidError says that an amount is out of range.
type InvalidError struct {
	Tokens int64
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("invalid amount of %d tokens", e.Tokens) }

// Account is what one holder has to do with one budget.
type Account struct {
	// Granted and Returned are sums over the holder's life.
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
	// Outstanding is what was granted and neither returned nor settled.
	Outstanding int64 `json:"outstanding"`
	// Sequence is the number of the holder's last grant or return.
	Sequence uint64 `json:"sequence"`
}

// Budget is one prepaid budget. Its fields are exported for encoding only.
type Budget struct {
	ToppedUp    int64               `json:"toppedUp"`
	Settled     int64               `json:"settled"`
	Outstanding int64               `json:"outstanding"`
	TopUps      map[string]bool     `json:"topUps"`
	Accounts    map[string]*Account `json:"accounts"`
}

// New returns an empty budget.
func New() *Budget {
	return &Budget{TopUps: map[string]bool{}, Accounts: map[string]*Account{}}
}

// Free returns the tokens that are neither settled nor outstanding.
func (b *Budget) Free() int64 { return b.ToppedUp - b.Settled - b.Outstanding }

// Account returns a copy of the holder's account.
func (b *Budget) Account(holder string) Account {
	if a := b.Accounts[holder]; a != nil {
		return *a
	}
	return Account{}
}

// TopUp adds tokens. A second one with the same id is a *DuplicateError.
func (b *Budget) TopUp(id string, tokens int64) error {
	if tokens <= 0 || tokens > MaxTokens-b.ToppedUp {
		return &InvalidError{Tokens: tokens}
	}
	if b.TopUps[id] {
		return &DuplicateError{}
	}
	b.TopUps[id] = true
	b.ToppedUp += tokens
	return nil
}

// Grant moves free tokens to the holder. Sequence numbers the holder's grants
// and returns; one that is not above the last is a *DuplicateError. A refused
// grant uses up its number.
func (b *Budget) Grant(holder string, sequence uint64, tokens int64) error {
	a, err := b.beginMove(holder, sequence, tokens)
	if err != nil {
		return err
	}
	if tokens > b.Free() {
		return &UncoveredError{Want: tokens, Free: b.Free()}
	}
	a.Granted += tokens
	a.Outstanding += tokens
	b.Outstanding += tokens
	return nil
}

// beginMove returns the holder's account with the number of a grant or return
// used up, whether or not the move is refused afterwards.
func (b *Budget) beginMove(holder string, sequence uint64, tokens int64) (*Account, error) {
	if tokens <= 0 {
		return nil, &InvalidError{Tokens: tokens}
	}
	a := b.account(holder)
	if sequence <= a.Sequence {
		return nil, &DuplicateError{}
	}
	a.Sequence = sequence
	return a, nil
}

// Return moves tokens of the holder that it has not spent back to the budget.
func (b *Budget) Return(holder string, sequence uint64, tokens int64) error {
	a, err := b.beginMove(holder, sequence, tokens)
	if err != nil {
		return err
	}
	if err := b.take(holder, a, tokens); err != nil {
		return err
	}
	a.Returned += tokens
	return nil
}

// Settle takes held tokens from the holder, of which spent are settled and the
// rest goes back to the budget. Spend above what was held is cut to it.
func (b *Budget) Settle(holder string, held, spent int64) error {
	if held < 0 || spent < 0 {
		return &InvalidError{Tokens: min(held, spent)}
	}
	a := b.Accounts[holder]
	if a == nil {
		return &NotHeldError{Holder: holder, Want: held}
	}
	if err := b.take(holder, a, held); err != nil {
		return err
	}
	b.Settled += min(spent, held)
	return nil
}

// Close returns all that the holder has outstanding and forgets the holder. It
// returns the number of tokens.
func (b *Budget) Close(holder string) int64 {
	a := b.Accounts[holder]
	if a == nil {
		return 0
	}
	delete(b.Accounts, holder)
	b.Outstanding -= a.Outstanding
	return a.Outstanding
}

// Check returns an error if the budget is overspent or its sums disagree.
func (b *Budget) Check() error {
	var sum int64
	for holder, a := range b.Accounts {
		if a.Outstanding < 0 {
			return errors.Errorf("%s has %d tokens outstanding", holder, a.Outstanding)
		}
		sum += a.Outstanding
	}
	if sum != b.Outstanding {
		return errors.Errorf("%d tokens outstanding, accounts say %d", b.Outstanding, sum)
	}
	if b.Settled < 0 || b.Settled+b.Outstanding > b.ToppedUp {
		return errors.Errorf("settled %d + outstanding %d > topped up %d", b.Settled, b.Outstanding, b.ToppedUp)
	}
	return nil
}

func (b *Budget) account(holder string) *Account {
	a := b.Accounts[holder]
	if a == nil {
		a = &Account{}
		b.Accounts[holder] = a
	}
	return a
}

func (b *Budget) take(holder string, a *Account, tokens int64) error {
	if tokens > a.Outstanding {
		return &NotHeldError{Holder: holder, Want: tokens, Held: a.Outstanding}
	}
	a.Outstanding -= tokens
	b.Outstanding -= tokens
	return nil
}

// Init makes a decoded Budget usable.
func (b *Budget) Init() {
	if b.TopUps == nil {
		b.TopUps = map[string]bool{}
	}
	if b.Accounts == nil {
		b.Accounts = map[string]*Account{}
	}
}
