package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/crocusline/crocusline/models/ledger"
)

// Names of the measures of the ledger.
const (
	ledgerBudget   = "ledgerBudget"
	ledgerHolder   = "ledgerHolder"
	ledgerKey      = "ledgerKey"
	ledgerSnapshot = "ledgerSnapshot"
	keySnapshot    = "keySnapshot"
	billBytes      = "billBytes"
	grantBytes     = "grantBytes"
	registerBytes  = "registerBytes"
	billTime       = "billTime"
)

// ledgerMeasures returns the measures of a shard's state and its stream.
func ledgerMeasures() []Measure {
	return []Measure{
		{ledgerBudget, "heap of a shard's state", "B", "budget", []int{250, 500, 1000, 2000}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return newShardState(n, 0, 0), nil })
		}},
		{ledgerHolder, "heap of a shard's state", "B", "entry that holds an allowance", []int{50, 100, 200, 400}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return newShardState(1, n, 0), nil })
		}},
		{ledgerKey, "heap of a shard's state", "B", "bill in the window", []int{10000, 20000, 40000, 80000}, func(_ context.Context, n int) (float64, error) {
			return heapSize(func() (any, error) { return newShardState(1, 1, n), nil })
		}},
		{ledgerSnapshot, "size of a shard's checkpoint", "B", "budget", []int{250, 500, 1000, 2000}, func(_ context.Context, n int) (float64, error) {
			data, err := newShardState(n, 0, 0).Snapshot()
			return float64(len(data)), err
		}},
		{keySnapshot, "size of a shard's checkpoint", "B", "bill in the window", []int{10000, 20000, 40000, 80000}, func(_ context.Context, n int) (float64, error) {
			data, err := newShardState(1, 1, n).Snapshot()
			return float64(len(data)), err
		}},
		{billBytes, "size of a record", "B", "bill", []int{1, 4, 16, 64}, func(_ context.Context, n int) (float64, error) {
			return encodedSize(n, newBill)
		}},
		{grantBytes, "size of a record", "B", "grant", []int{1, 4, 16, 64}, func(_ context.Context, n int) (float64, error) {
			return encodedSize(n, func(i int) ledger.Entry { return newGrant(0, i) })
		}},
		{registerBytes, "size of a record", "B", "registration with its outcome", []int{1, 4, 16, 64}, func(_ context.Context, n int) (float64, error) {
			return encodedSize(2*n, newRegistration)
		}},
		{billTime, "time to fold bills", "us", "bill", []int{1000, 2000, 4000, 8000}, func(_ context.Context, n int) (float64, error) {
			return minMicroseconds(func() { newShardState(1, 1, n) }), nil
		}},
	}
}

// newShardState returns a shard's state with the given number of budgets, of holders
// of the first budget, and of bills of the first holder.
func newShardState(budgets, holders, bills int) *ledger.State {
	s := ledger.New()
	now := time.Unix(0, 0)
	for i := range budgets {
		s.Apply(now, ledger.TopUp{ID: fmt.Sprintf("invoice-%d", i), Workspace: workspaceName(i), Tokens: 1 << 40})
	}
	for i := range holders {
		s.Apply(now, newGrant(0, i))
	}
	for i := range bills {
		s.Apply(now, newBill(i))
	}
	return s
}

func workspaceName(i int) string {
	return fmt.Sprintf("workspace-%04d", i)
}

func holderName(i int) string {
	return fmt.Sprintf("entry-%03d/01a23f0a-3c57-7989-8d36-800c2665efa1", i)
}

func newGrant(budget, i int) ledger.Entry {
	return ledger.Grant{Sequence: 1, Workspace: workspaceName(budget), Holder: holderName(i), Tokens: 1 << 32}
}

func newBill(i int) ledger.Entry {
	return ledger.Bill{
		RequestID: fmt.Sprintf("01a23f0a-3c57-7989-8d36-%012d", i),
		Workspace: workspaceName(0),
		Kind:      "draftReport",
		Key:       fmt.Sprintf("01a23f0a-3c58-7989-8d36-%012d", i),
		Hold:      ledger.Hold{Holder: holderName(0), Sequence: uint64(i + 1), Tokens: 1000},
		Tokens:    400,
		Witness:   "model-0001-sidecar/01a23f0a-3c57-7989-8d36-800c2665efa1",
		Server:    "model-0001",
	}
}

// newRegistration returns a registration if i is even, and the outcome of the
// registration i-1 if i is odd.
func newRegistration(i int) ledger.Entry {
	key := fmt.Sprintf("01a23f0a-3c58-7989-8d36-%012d", i/2)
	if i%2 == 1 {
		return ledger.Outcome{Workspace: workspaceName(0), Key: key, Attempt: 1, Body: make([]byte, 128), BodyKept: true}
	}
	return ledger.Register{
		ID: key, Workspace: workspaceName(0), Key: key, Digest: make([]byte, 8), Attempt: 1, Entry: holderName(0),
		Sidecar: "booking-1-sidecar/01a23f0a-3c57-7989-8d36-800c2665efa1", Server: "booking-1",
	}
}

// encodedSize returns the size, in bytes, of n encoded entries.
func encodedSize(n int, entry func(int) ledger.Entry) (float64, error) {
	entries := make([]ledger.Entry, n)
	for i := range entries {
		entries[i] = entry(i)
	}
	data, err := ledger.Encode(entries...)
	return float64(len(data)), err
}
