package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/crocusline/crocusline/coordination/once"
	_ "github.com/crocusline/crocusline/tests/fixedseed"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func Example() {
	r := once.New()
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	digest := []byte("book bay 3")
	fmt.Println(r.Register(now, "booking-1", once.Attempt{ID: "x", Number: 1, Digest: digest, Runner: "server1"}))
	fmt.Println(r.Register(now, "booking-1", once.Attempt{ID: "y", Number: 1, Digest: digest, Runner: "server2"}))
	fmt.Println(r.Void(now, "booking-1", 1))
	fmt.Println(r.Register(now, "booking-1", once.Attempt{ID: "y", Number: 2, Digest: digest, Runner: "server2"}))
	a, _ := r.Get("booking-1")
	fmt.Println(a.Number, a.Runner, a.Status)
	// Output:
	// applied
	// ignored
	// applied
	// applied
	// 2 server2 registered
}

// TestOneAttemptAtATime applies any interleaving of registrations, voids and ends, and
// checks that at most one attempt may run at any time and that none ends after it was
// voided.
func TestOneAttemptAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := once.New()
		registrations := map[int64]int{}
		voided := map[int64]bool{}
		for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
			number := rapid.Int64Range(0, 6).Draw(t, "number")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				a := once.Attempt{ID: fmt.Sprint(i), Number: number, Digest: []byte("d")}
				if r.Register(start, "k", a) == once.Applied {
					registrations[number]++
				}
			case 1:
				if r.Void(start, "k", number) == once.Applied {
					voided[number] = true
				}
			case 2:
				if r.Finish(start, "k", number, nil, false) == once.Applied && voided[number] {
					t.Fatalf("attempt %d ran after it was voided", number)
				}
			}
			open := 0
			for n, count := range registrations {
				if count > 1 {
					t.Fatalf("attempt %d registered %d times", n, count)
				}
				if !voided[n] {
					open++
				}
			}
			if open > 1 {
				t.Fatalf("%d attempts may run", open)
			}
		}
	})
}

func TestConflict(t *testing.T) {
	r := once.New()
	r.Register(start, "k", once.Attempt{Number: 1, Digest: []byte("d")})
	r.Void(start, "k", 1)
	if got := r.Register(start, "k", once.Attempt{Number: 2, Digest: []byte("e")}); got != once.Conflict {
		t.Fatalf("effect %s", got)
	}
}

func TestRetention(t *testing.T) {
	r := once.New(once.WithRetention(time.Hour))
	r.Register(start, "old", once.Attempt{Number: 1})
	r.Register(start, "kept", once.Attempt{Number: 1})
	r.Finish(start.Add(time.Hour), "kept", 1, nil, false)
	restored := once.New(once.WithRetention(time.Hour))
	restored.Restore(r.Snapshot())
	for _, r := range []*once.Registry{r, restored} {
		r.Register(start.Add(90*time.Minute), "new", once.Attempt{Number: 1})
		if _, found := r.Get("old"); found {
			t.Error("old key was not deleted")
		}
		if _, found := r.Get("kept"); !found || r.Len() != 2 {
			t.Errorf("kept key was deleted, %d keys", r.Len())
		}
	}
}

// call is one operation in a porcupine history.
type call struct {
	register bool
	id       string
	number   int64
}

// latestAttempt is the output of a call: the key's latest attempt.
type latestAttempt struct {
	id     string
	number int64
	status once.Status
}

// sequential is the sequential specification: there is at most one attempt that is not
// voided, and each attempt after a void has the next number.
var sequential = porcupine.Model{
	Init: func() any { return latestAttempt{status: once.Voided} },
	Step: func(state, input, output any) (bool, any) {
		s, c := state.(latestAttempt), input.(call)
		switch {
		case c.register && s.status == once.Voided && c.number == s.number+1:
			s = latestAttempt{id: c.id, number: c.number, status: once.Registered}
		case !c.register && s.status == once.Registered && c.number == s.number:
			s.status = once.Voided
		}
		return output.(latestAttempt) == s, s
	},
}

func TestRegistrationIsLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := once.New()
		var history []porcupine.Operation
		clock := int64(0)
		for i := range rapid.IntRange(1, 24).Draw(t, "calls") {
			c := call{
				register: rapid.Bool().Draw(t, "register"),
				id:       fmt.Sprint(i),
				number:   rapid.Int64Range(1, 4).Draw(t, "number"),
			}
			if c.register {
				r.Register(start, "k", once.Attempt{ID: c.id, Number: c.number})
			} else {
				r.Void(start, "k", c.number)
			}
			out := latestAttempt{status: once.Voided}
			if a, found := r.Get("k"); found {
				out = latestAttempt{id: a.ID, number: a.Number, status: a.Status}
			}
			callTime := clock - rapid.Int64Range(0, 3).Draw(t, "overlap")
			clock += 2
			history = append(history, porcupine.Operation{ClientId: i, Input: c, Call: callTime, Output: out, Return: clock})
		}
		if !porcupine.CheckOperations(sequential, history) {
			t.Fatal("history is not linearizable")
		}
	})
}

// TestDeletedKeyIsNotRegistered retries a key after arbitrary delays. A key whose
// creation time is known must be registered at most once, also after its attempt has
// been deleted.
func TestDeletedKeyIsNotRegistered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := once.New(once.WithRetention(time.Hour))
		now, applied := start, 0
		createdAt := start.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "createdAt")) * time.Minute)
		for i := range rapid.IntRange(1, 12).Draw(t, "tries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "minutes")) * time.Minute)
			r.Register(now, fmt.Sprint("other", i), once.Attempt{Number: 1})
			switch r.Register(now, "k", once.Attempt{Number: 1, KeyCreatedAt: createdAt}) {
			case once.Applied:
				applied++
			case once.Expired:
				if age := now.Sub(createdAt); age >= -once.MaxClockSkew && age <= time.Hour {
					t.Fatalf("key expired at age %s", age)
				}
			default:
			}
		}
		if applied > 1 {
			t.Fatalf("registered %d times", applied)
		}
	})
}

func TestKeyFromFastClockIsKeptLonger(t *testing.T) {
	r := once.New(once.WithRetention(time.Hour))
	createdAt := start.Add(once.MaxClockSkew)
	r.Register(start, "k", once.Attempt{Number: 1, KeyCreatedAt: createdAt})
	if got := r.Register(createdAt.Add(time.Hour), "k", once.Attempt{Number: 1, KeyCreatedAt: createdAt}); got != once.Ignored {
		t.Fatalf("retry is %s, want ignored", got)
	}
}
