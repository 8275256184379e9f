package kernel_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
)

type fakeService struct {
	name   string
	fail   bool
	events *[]string
}

func (s *fakeService) Name() string { return s.name }

func (s *fakeService) Start(context.Context, *kernel.Kernel) error {
	if s.fail {
		return errors.New("no")
	}
	*s.events = append(*s.events, "start "+s.name)
	return nil
}

func (s *fakeService) Close() error {
	*s.events = append(*s.events, "close "+s.name)
	return nil
}

func TestStartFailureClosesInReverse(t *testing.T) {
	var events []string
	k := kernel.New(hclog.NewNullLogger())
	err := k.Add(
		&fakeService{name: "a", events: &events},
		&fakeService{name: "b", events: &events},
		&fakeService{name: "c", events: &events, fail: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err == nil {
		t.Fatal("start succeeded")
	}
	want := []string{"start a", "start b", "close b", "close a"}
	if len(events) != len(want) {
		t.Fatalf("events %v, want %v", events, want)
	}
	for i := range want {
		if events[i] != want[i] {
			t.Fatalf("events %v, want %v", events, want)
		}
	}
}

func TestAddTwice(t *testing.T) {
	k := kernel.New(hclog.NewNullLogger())
	var events []string
	s := &fakeService{name: "a", events: &events}
	if err := k.Add(s, s); err == nil {
		t.Fatal("no error")
	}
}
