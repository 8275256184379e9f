package kernel_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/kernel"
)

type fakeService struct {
	name      string
	failStart bool
	events    *[]string
}

func (s *fakeService) Name() string { return s.name }

func (s *fakeService) Start(context.Context, *kernel.Kernel) error {
	if s.failStart {
		return errors.New("start failed")
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
		&fakeService{name: "c", events: &events, failStart: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err == nil {
		t.Fatal("Start succeeded, want an error")
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

func TestAddRejectsDuplicateName(t *testing.T) {
	k := kernel.New(hclog.NewNullLogger())
	var events []string
	s := &fakeService{name: "a", events: &events}
	if err := k.Add(s, s); err == nil {
		t.Fatal("a duplicate name was accepted")
	}
}
