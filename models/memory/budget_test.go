package memory_test

import (
	"testing"

	"github.com/crocusline/crocusline/models/memory"
)

// TestBudget checks that responses hold no more than their share of the process's memory beyond
// memory.MinResponseBytes each, and that what they release can be held again.
func TestBudget(t *testing.T) {
	const (
		limit     = 112 << 20
		responses = 400
		size      = 512 << 10
	)
	var b memory.Budget
	b.SetLimit(limit)
	held := make([]int, responses)
	sum := func() int {
		total := 0
		for _, n := range held {
			total += n
		}
		return total
	}
	// All grow at the same time, as when all servers send at the same rate.
	for next := 4 << 10; next <= size; next *= 2 {
		for i := range held {
			if b.ResizeResponse(held[i], next) {
				held[i] = next
			} else if next <= memory.MinResponseBytes {
				t.Fatalf("response %d was refused %d bytes", i, next)
			}
		}
	}
	if got := sum(); got > limit/4 || got < limit/8 {
		t.Errorf("%d responses hold %d bytes, want at most a quarter of %d and at least an eighth", responses, got, limit)
	}
	if b.ResizeResponse(held[0], size) {
		t.Error("a response may hold more when the budget is used up")
	}
	for i := range held {
		if !b.ResizeResponse(held[i], 0) {
			t.Fatalf("response %d can't release %d bytes", i, held[i])
		}
	}
	for range limit / 8 / size {
		if !b.ResizeResponse(0, size) {
			t.Fatal("what was released can't be held again")
		}
	}
}

// TestBudgetMemoryReduced checks that responses keep what they hold when the memory is reduced, and
// that none may hold more until enough was released.
func TestBudgetMemoryReduced(t *testing.T) {
	const size = 1 << 20
	var b memory.Budget
	b.SetLimit(32 << 20)
	for range 2 {
		if !b.ResizeResponse(0, size) {
			t.Fatal("the budget is too small")
		}
	}
	b.SetLimit(8 << 20)
	if b.ResizeResponse(0, 2*memory.MinResponseBytes) {
		t.Error("a response holds more than the reduced memory allows")
	}
	if !b.ResizeResponse(0, memory.MinResponseBytes) {
		t.Error("a response may not hold the least size")
	}
	for range 2 {
		b.ResizeResponse(size, 0)
	}
	if !b.ResizeResponse(0, size) {
		t.Error("what was released can't be held again")
	}
}
