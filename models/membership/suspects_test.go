package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/membership"
)

func TestSuspects(t *testing.T) {
	start := time.Unix(0, 0)
	s := membership.NewSuspects(10 * time.Second)
	s.Listed([]string{"a", "b"})
	if got := s.Probes(); len(got) != 0 {
		t.Fatalf("probes %v after one list", got)
	}
	s.Listed([]string{"a", "b"})
	if got := fmt.Sprint(s.Probes()); got != "[a b]" {
		t.Fatalf("probes %v after two lists", got)
	}
	if s.Unanswered(start, "a") || s.Unanswered(start.Add(9*time.Second), "a") {
		t.Fatal("gone before patience is over")
	}
	s.Answered("a")
	if s.Unanswered(start.Add(11*time.Second), "a") {
		t.Fatal("gone right after an answer")
	}
	s.Listed([]string{"a"})
	if s.Unanswered(start.Add(99*time.Second), "b") {
		t.Fatal("gone although listed")
	}
	if !s.Unanswered(start.Add(21*time.Second), "a") {
		t.Fatal("not gone after patience")
	}
}
