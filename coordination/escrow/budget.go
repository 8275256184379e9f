// Package escrow manages prepaid budgets from which several holders spend
// concurrently without exceeding them.
//
// A grant transfers tokens from the budget to a holder, which settles or returns
// them. Granted tokens are outstanding until they are settled or proven unspent,
// and settled + outstanding never exceeds the sum of the top-ups. A Budget is pure
// state, computed by replaying an ordered log: the position of a grant in the log
// determines whether it is covered.
package escrow

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
)

// MaxTokens bounds the sum of all top-ups of one budget.
const MaxTokens = math.MaxInt64 / 4

// UncoveredError is returned for a grant that exceeds the free tokens of the budget.
type UncoveredError struct {
	// Requested is the number of tokens requested.
	Requested int64
	// Free is the number of tokens neither settled nor outstanding.
	Free int64
}

// Error implements error.
func (e *UncoveredError) Error() string {
	return fmt.Sprintf("grant of %d tokens not covered, %d free", e.Requested, e.Free)
}

// DuplicateError is returned for a grant, return or top-up that was already applied.
type DuplicateError struct{}

// Error implements error.
func (e *DuplicateError) Error() string { return "already applied" }

// NotHeldError is returned if a holder should settle or return more tokens than it has
// outstanding.
type NotHeldError struct {
	Holder    string
	Requested int64
	Held      int64
}

// Error implements error.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("%s holds %d tokens, not %d", e.Holder, e.Held, e.Requested)
}

// InvalidError is returned for a number of tokens that is out of range.
type InvalidError struct {
	Tokens int64
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("invalid amount of %d tokens", e.Tokens) }

// Account is the account of one holder at a budget.
type Account struct {
	// Granted and Returned are the sums over the holder's lifetime.
	Granted  int64 `json:"granted"`
	Returned int64 `json:"returned"`
	// Outstanding is the number of tokens granted and neither returned nor settled.
	Outstanding int64 `json:"outstanding"`
	// Sequence is the sequence number of the holder's last grant or return.
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

// TopUp adds tokens. It returns a *DuplicateError for an id that was used before.
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

// Grant transfers free tokens to the holder. The holder numbers its grants and returns
// in one sequence; a number not above the last one results in a *DuplicateError. A
// refused grant consumes its number, too.
func (b *Budget) Grant(holder string, sequence uint64, tokens int64) error {
	a, err := b.consumeSequence(holder, sequence, tokens)
	if err != nil {
		return err
	}
	if tokens > b.Free() {
		return &UncoveredError{Requested: tokens, Free: b.Free()}
	}
	a.Granted += tokens
	a.Outstanding += tokens
	b.Outstanding += tokens
	return nil
}

// consumeSequence records the sequence number of a grant or return, even if that is
// refused afterwards, and returns the holder's account.
func (b *Budget) consumeSequence(holder string, sequence uint64, tokens int64) (*Account, error) {
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

// Return transfers unspent tokens of the holder back to the budget.
func (b *Budget) Return(holder string, sequence uint64, tokens int64) error {
	a, err := b.consumeSequence(holder, sequence, tokens)
	if err != nil {
		return err
	}
	if err := b.deduct(holder, a, tokens); err != nil {
		return err
	}
	a.Returned += tokens
	return nil
}

// Settle ends a hold of the holder: of the held tokens, spent are settled and the rest
// is transferred back to the budget. No more than held is settled.
func (b *Budget) Settle(holder string, held, spent int64) error {
	if held < 0 || spent < 0 {
		return &InvalidError{Tokens: min(held, spent)}
	}
	a := b.Accounts[holder]
	if a == nil {
		return &NotHeldError{Holder: holder, Requested: held}
	}
	if err := b.deduct(holder, a, held); err != nil {
		return err
	}
	b.Settled += min(spent, held)
	return nil
}

// Close transfers all outstanding tokens of the holder back to the budget and removes
// the holder's account. It returns the number of these tokens.
func (b *Budget) Close(holder string) int64 {
	a := b.Accounts[holder]
	if a == nil {
		return 0
	}
	delete(b.Accounts, holder)
	b.Outstanding -= a.Outstanding
	return a.Outstanding
}

// Check returns an error if the budget is overspent or its sums are inconsistent.
func (b *Budget) Check() error {
	var sum int64
	for holder, a := range b.Accounts {
		if a.Outstanding < 0 {
			return errors.Errorf("%s has %d tokens outstanding", holder, a.Outstanding)
		}
		sum += a.Outstanding
	}
	if sum != b.Outstanding {
		return errors.Errorf("%d tokens outstanding, sum of the accounts is %d", b.Outstanding, sum)
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

func (b *Budget) deduct(holder string, a *Account, tokens int64) error {
	if tokens > a.Outstanding {
		return &NotHeldError{Holder: holder, Requested: tokens, Held: a.Outstanding}
	}
	a.Outstanding -= tokens
	b.Outstanding -= tokens
	return nil
}

// Init initializes the maps of a decoded Budget.
func (b *Budget) Init() {
	if b.TopUps == nil {
		b.TopUps = map[string]bool{}
	}
	if b.Accounts == nil {
		b.Accounts = map[string]*Account{}
	}
}
