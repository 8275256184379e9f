package lineage_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/services/lineage"
	"github.com/crocusline/crocusline/standin/site"
)

// TestRecorders checks that a gateway which resumes a stream knows which one began it, from the store, or from the
// gateways that it asks while the store is away.
func TestRecorders(t *testing.T) {
	for _, away := range []bool{false, true} {
		run(t, func(f *fixture) {
			var all []*lineage.Service
			addresses := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")}
			for _, a := range addresses {
				s, _ := f.start(a.String(), lineage.WithFleet(f, f))
				f.gateways[a] = s
				all = append(all, s)
			}
			f.begin(all[0], "a", "v1")
			if away {
				f.store.SetFault(site.Unavailable)
			}
			f.expect(all[1], "a", "v1")
			f.expect(all[0], "a", "v1")
			if got := all[1].Recorders(id("a")); !slices.Equal(got, addresses[:1]) {
				f.Errorf("store away %t: got %v, want %v", away, got, addresses[:1])
			}
			if got := all[0].Recorders(id("a")); len(got) > 0 {
				f.Errorf("store away %t: the gateway that began the stream got %v", away, got)
			}
			f.store.SetFault(site.NoFault)
		})
	}
}

// TestReadersTakenForRecorders guards against a stream whose first gateway isn't asked to end it while the store is away,
// as others have read of the stream and are asked instead.
func TestReadersTakenForRecorders(t *testing.T) {
	run(t, func(f *fixture) {
		var addresses []netip.AddrPort
		var all []*lineage.Service
		for i := range 14 {
			a := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))
			s, _ := f.start(a.String(), lineage.WithFleet(f, f))
			f.gateways[a] = s
			addresses, all = append(addresses, a), append(all, s)
		}
		last := len(all) - 1
		f.begin(all[last], "a", "v1")
		for _, s := range all[1:] {
			f.expect(s, "a", "v1")
		}
		f.store.SetFault(site.Unavailable)
		f.expect(all[0], "a", "v1")
		f.store.SetFault(site.NoFault)
		recorders := all[0].Recorders(id("a"))
		search := takeover.NewSearch(addresses[0], recorders...)
		var asked []netip.AddrPort
		for g, ok := search.Next(); ok; g, ok = search.Next() {
			asked = append(asked, g)
		}
		if !slices.Contains(asked, addresses[last]) {
			f.Errorf("asked %v of %d recorders, and not %v, which began the stream", asked, len(recorders), addresses[last])
		}
		if len(recorders) > 1 {
			f.Errorf("%d gateways count as recorders, of which one has begun the stream", len(recorders))
		}
	})
}
