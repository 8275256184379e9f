package lineage_test

import (
	"net/netip"
	"slices"
	"testing"

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
