package buffer_test

import (
	"testing"

	"github.com/crocusline/crocusline/models/buffer"
)

// TestBudget checks that responses hold no more than their share of the process's memory beyond
// buffer.MinBytes each, and that what they release can be held again.
func TestBudget(t *testing.T) {
	const (
		memory    = 112 << 20
		responses = 400
		size      = 512 << 10
	)
	var b buffer.Budget
	b.SetMemory(memory)
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
			if b.Resize(held[i], next) {
				held[i] = next
			} else if next <= buffer.MinBytes {
				t.Fatalf("response %d was refused %d bytes", i, next)
			}
		}
	}
	if got := sum(); got > memory/4 || got < memory/8 {
		t.Errorf("%d responses hold %d bytes, want at most a quarter of %d and at least an eighth", responses, got, memory)
	}
	if b.Resize(held[0], size) {
		t.Error("a response may hold more when the budget is used up")
	}
	for i := range held {
		if !b.Resize(held[i], 0) {
			t.Fatalf("response %d can't release %d bytes", i, held[i])
		}
	}
	for range memory / 8 / size {
		if !b.Resize(0, size) {
			t.Fatal("what was released can't be held again")
		}
	}
}

// TestBudgetMemoryReduced checks that responses keep what they hold when the memory is reduced, and
// that none may hold more until enough was released.
func TestBudgetMemoryReduced(t *testing.T) {
	const size = 1 << 20
	var b buffer.Budget
	b.SetMemory(32 << 20)
	for range 2 {
		if !b.Resize(0, size) {
			t.Fatal("the budget is too small")
		}
	}
	b.SetMemory(8 << 20)
	if b.Resize(0, 2*buffer.MinBytes) {
		t.Error("a response holds more than the reduced memory allows")
	}
	if !b.Resize(0, buffer.MinBytes) {
		t.Error("a response may not hold the least size")
	}
	for range 2 {
		b.Resize(size, 0)
	}
	if !b.Resize(0, size) {
		t.Error("what was released can't be held again")
	}
}
