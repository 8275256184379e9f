package prepaid_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/route"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/prepaid"
	"github.com/crocusline/crocusline/standin/site"
)

// tables are the tables in force.
type tables struct{ table *route.Table }

func (t tables) Table() *route.Table { return t.table }

var topics = prepaid.Topics{Grants: "keyed.grants", Reports: "keyed.reports"}

// fleet is some entries at one store.
type fleet struct {
	*testing.T
	store     *site.Store
	address   netip.AddrPort
	workspace route.Workspace
}

func newFleet(t *testing.T, total int64) *fleet {
	t.Helper()
	store := site.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &fleet{
		T: t, store: store, address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		workspace: route.Workspace{Name: "clinics", Limited: true, Prepaid: total},
	}
}

// start starts an entry. Its end returns tokens only if it is closed.
func (f *fleet) start(name string, opts ...prepaid.Option) *prepaid.Service {
	f.Helper()
	client := platform.NewStore(f.address, metric.New())
	table := route.New(route.Contents{Workspaces: map[string]route.Workspace{"clinics": f.workspace}})
	s := prepaid.New(hclog.NewNullLogger(), client, topics, tables{table}, name, opts...)
	if err := s.Start(context.Background(), nil); err != nil {
		f.Fatal(err)
	}
	f.eventually("the accounts are known", s.Ready)
	return s
}

func (f *fleet) eventually(what string, check func() bool) {
	f.Helper()
	for range 1000 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatalf("not within 10 s: %s", what)
}

// reserve reserves tokens as soon as the entry has them.
func (f *fleet) reserve(s *prepaid.Service, tokens int64) *prepaid.Hold {
	f.Helper()
	var hold *prepaid.Hold
	f.eventually(fmt.Sprintf("%d tokens are reserved", tokens), func() bool {
		var err error
		hold, err = s.Reserve(f.Context(), f.workspace, "request", tokens)
		return err == nil
	})
	return hold
}

// TestSharedByEntries checks that entries that reserve at once get all of the
// tokens together, and no more.
func TestSharedByEntries(t *testing.T) {
	const (
		total   = 200_000
		request = 5_000
	)
	f := newFleet(t, total)
	entries := []*prepaid.Service{f.start("entry-1"), f.start("entry-2"), f.start("entry-3")}
	var mu sync.Mutex
	var served int64
	var done sync.WaitGroup
	for _, e := range entries {
		done.Go(func() {
			for misses := 0; misses < 12; {
				hold, err := e.Reserve(f.Context(), f.workspace, "request", request)
				if err != nil {
					misses++
					time.Sleep(50 * time.Millisecond)
					continue
				}
				hold.Settle(request)
				mu.Lock()
				served += request
				mu.Unlock()
			}
		})
	}
	done.Wait()
	if served > total {
		t.Errorf("served %d of %d tokens", served, total)
	}
	if served < total*9/10 {
		t.Errorf("served only %d of %d tokens", served, total)
	}
	for _, e := range entries {
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestCutOff checks that an entry that lost the store goes on from its grant, and
// then refuses as not run.
func TestCutOff(t *testing.T) {
	f := newFleet(t, 400_000)
	e := f.start("entry-1")
	f.reserve(e, 5_000).Settle(5_000)
	f.store.SetFault(site.Silent)
	var used int64
	for range 40 {
		hold, err := e.Reserve(t.Context(), f.workspace, "request", 1_000)
		if err != nil {
			if r, ok := refusal.As(err); !ok || r.Outcome != refusal.NotRun || r.RetryAfter == 0 {
				t.Fatalf("got %v, want a refusal with a time to come back", err)
			}
			break
		}
		hold.Settle(1_000)
		used += 1_000
	}
	if used == 0 {
		t.Error("nothing was served while the store was away")
	}
	f.store.SetFault(site.None)
	if err := e.Close(); err != nil {
		t.Error(err)
	}
}

// TestWaitsForTerms checks that a large request waits during a cut if the terms
// will cover it, and that one they will not cover is refused at once.
func TestWaitsForTerms(t *testing.T) {
	f := newFleet(t, 2_000_000)
	e := f.start("entry-1")
	f.reserve(e, 5_000).Settle(5_000)
	f.store.SetFault(site.Silent)
	const growing = 3300 * time.Millisecond // The terms' last growth has begun.
	time.Sleep(growing)
	began := time.Now()
	if _, err := e.Reserve(t.Context(), f.workspace, "request", 1_900_000); err == nil || time.Since(began) > 50*time.Millisecond {
		t.Errorf("got %v after %s, want a refusal at once", err, time.Since(began))
	}
	before := e.Balance(f.workspace).Free
	time.Sleep(200 * time.Millisecond)
	free := e.Balance(f.workspace).Free
	hold, err := e.Reserve(t.Context(), f.workspace, "request", free+4*(free-before))
	if err != nil {
		t.Fatalf("not served though the terms allow it in 0.8 s: %v", err)
	}
	hold.Settle(1)
	f.store.SetFault(site.None)
	if err := e.Close(); err != nil {
		t.Error(err)
	}
}

// peers are entries that reach each other, by their addresses.
type peers map[netip.AddrPort]*prepaid.Service

// Borrow implements prepaid.Peers.
func (p peers) Borrow(_ context.Context, peer netip.AddrPort, workspace string, tokens int64) (int64, error) {
	if p[peer] == nil {
		return 0, errors.Errorf("no entry at %s", peer)
	}
	return p[peer].Lend(workspace, tokens), nil
}

// TestBorrow replays a cut of all entries in which the callers of a workspace all
// come to one: it borrows from the others, and refuses soon if they don't answer.
func TestBorrow(t *testing.T) {
	f := newFleet(t, 2_000_000)
	reached := peers{}
	var entries []*prepaid.Service
	for i := range 4 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i))
		e := f.start(fmt.Sprintf("entry-%d", i), prepaid.WithPeers(reached, address))
		entries, reached[address] = append(entries, e), e
	}
	for _, e := range entries {
		f.reserve(e, 1_000).Settle(1_000)
	}
	time.Sleep(time.Second)
	f.store.SetFault(site.Silent)
	time.Sleep(3500 * time.Millisecond)
	own := entries[0].Balance(f.workspace).Free
	hold, err := entries[0].Reserve(t.Context(), f.workspace, "request", own+150_000)
	if err != nil {
		t.Fatalf("nothing was borrowed: %v", err)
	}
	hold.Settle(own + 150_000)
	clear(reached)
	began := time.Now()
	_, err = entries[0].Reserve(t.Context(), f.workspace, "request", 400_000)
	if took := time.Since(began); err == nil || took > time.Second {
		t.Errorf("got %v after %s with no peer in reach, want a refusal", err, took)
	}
	expectBack(t, err, time.Second, 3*time.Second)
	_, err = entries[0].Reserve(t.Context(), f.workspace, "request", 1_900_000)
	expectBack(t, err, 4*time.Second, 5*time.Second)
	f.store.SetFault(site.None)
	for _, e := range entries {
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	}
}

// expectBack checks that a refusal sends the caller back in time for what the
// terms will allow.
func expectBack(t *testing.T, err error, least, most time.Duration) {
	t.Helper()
	r, ok := refusal.As(err)
	if !ok {
		t.Fatalf("got %v, want a refusal", err)
	}
	if r.RetryAfter < least || r.RetryAfter > most {
		t.Errorf("told to come back in %s, want %s to %s", r.RetryAfter, least, most)
	}
}

// TestReturned checks that a process that ends in order leaves its tokens to others.
func TestReturned(t *testing.T) {
	f := newFleet(t, 100_000)
	first := f.start("entry-1")
	f.reserve(first, 10_000).Settle(10_000)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second := f.start("entry-2")
	f.reserve(second, 88_000).Settle(88_000)
	if err := second.Close(); err != nil {
		t.Error(err)
	}
}

// TestSuccessor checks that the successor of a process that ended without a word
// counts as spent what that may have spent, and no more than its grant.
func TestSuccessor(t *testing.T) {
	f := newFleet(t, 100_000)
	first := f.start("entry-1")
	f.reserve(first, 30_000).Settle(30_000)
	// The process is not closed: it stands for one that was killed.
	second := f.start("entry-1")
	var used int64
	for range 60 {
		if hold, err := second.Reserve(t.Context(), f.workspace, "request", 2_000); err == nil {
			hold.Settle(2_000)
			used += 2_000
		}
	}
	if used > 70_000 {
		t.Errorf("the successor used %d tokens of 70000", used)
	}
	if used < 20_000 {
		t.Errorf("the successor used only %d tokens", used)
	}
	if err := second.Close(); err != nil {
		t.Error(err)
	}
}

// TestLostAnswers checks that writes whose answers are lost are neither counted
// twice nor forgotten.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t, 100_000)
	e := f.start("entry-1")
	f.reserve(e, 1_000).Settle(1_000)
	f.store.SetFault(site.LoseAnswers)
	time.Sleep(400 * time.Millisecond)
	f.store.SetFault(site.None)
	f.reserve(e, 60_000).Settle(60_000)
	f.reserve(e, 35_000).Settle(35_000)
	if _, err := e.Reserve(t.Context(), f.workspace, "request", 5_000); err == nil {
		t.Error("more was reserved than is paid for")
	}
	if err := e.Close(); err != nil {
		t.Error(err)
	}
}

// TestUnreadableGrant checks that nobody hands out tokens while a grant can't be
// decoded.
func TestUnreadableGrant(t *testing.T) {
	f := newFleet(t, 100_000)
	for part := range 4 {
		// The record is put in each partition, as the test does not know the right one.
		f.putUnreadable(part)
	}
	e := f.start("entry-1")
	if _, err := e.Reserve(t.Context(), f.workspace, "request", 1_000); err == nil {
		t.Error("tokens were reserved")
	}
	if err := e.Close(); err != nil {
		t.Error(err)
	}
}

func (f *fleet) putUnreadable(part int) {
	f.Helper()
	f.store.PutIn(topics.Grants, part, "clinics\x1fentry-2", []byte("?"))
}

// TestUnlimited checks that a workspace without a prepaid total needs no hold.
func TestUnlimited(t *testing.T) {
	f := newFleet(t, 1)
	e := f.start("entry-1")
	hold, err := e.Reserve(t.Context(), route.Workspace{Name: "stores"}, "request", 1_000_000)
	if err != nil || hold != nil {
		t.Errorf("got %v and %v", hold, err)
	}
	hold.Settle(5)
	if err := e.Close(); err != nil {
		t.Error(err)
	}
}
