package dispatch

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
)

type recordingSink struct {
	accepted int
	first    int64
	text     []string
	fail     error
}

func (s *recordingSink) Accepted(_, _ string, first int64) error {
	s.accepted++
	s.first = first
	return s.fail
}

func (s *recordingSink) Tokens(first int64, tokens []string) error {
	if want := s.first + int64(len(s.text)); first != want {
		return errors.Errorf("token %d, want %d", first, want)
	}
	s.text = append(s.text, tokens...)
	return s.fail
}

func TestRelayForwardsEachTokenOnce(t *testing.T) {
	sink := &recordingSink{}
	r := relay{sink: sink, firstWanted: 2}
	if err := r.announce("id", "server"); err != nil {
		t.Fatal(err)
	}
	chunks := []struct {
		first  int64
		tokens string
	}{{0, "a"}, {1, "b c"}, {1, "b c"}, {2, "c d"}, {4, "e f"}, {0, "a b c d e f g"}}
	for _, c := range chunks {
		if err := r.add(c.first, strings.Fields(c.tokens)); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(sink.text, " "); got != "c d e f g" {
		t.Fatalf("caller got %q", got)
	}
	if err := r.checkComplete(7); err != nil {
		t.Fatal(err)
	}
}

func TestRelayRejectsGapsAndMissingTokens(t *testing.T) {
	r := relay{sink: &recordingSink{}}
	var sequenceErr *SequenceError
	if err := r.add(1, []string{"b"}); !errors.As(err, &sequenceErr) {
		t.Fatalf("gap: %v", err)
	}
	if err := r.add(0, []string{"a"}); err != nil {
		t.Fatal(err)
	}
	if err := r.checkComplete(2); !errors.As(err, &sequenceErr) {
		t.Fatalf("missing token: %v", err)
	}
}

func TestRelayReturnsSinkErrors(t *testing.T) {
	r := relay{sink: &recordingSink{fail: errors.New("disconnected")}}
	var sinkErr *SinkError
	if err := r.add(0, []string{"a"}); !errors.As(err, &sinkErr) {
		t.Fatalf("error %v", err)
	}
}
