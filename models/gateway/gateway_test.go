package gateway_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/crocusline/crocusline/models/gateway"
)

// fleet returns a fleet of strong and weak gateways.
func fleet(strong, weak int) map[string]gateway.Member {
	members := map[string]gateway.Member{}
	for i := range strong {
		members[fmt.Sprintf("strong-%d", i)] = gateway.Member{Capacity: 800}
	}
	for i := range weak {
		members[fmt.Sprintf("weak-%d", i)] = gateway.Member{Capacity: 144}
	}
	return members
}

// TestHolders checks that strong gateways hold the tokens, evenly over many workspaces,
// and that the loss of one changes no more than its own place.
func TestHolders(t *testing.T) {
	members := fleet(15, 88)
	held := map[string]int{}
	for i := range 400 {
		workspace := fmt.Sprintf("workspace-%d", i)
		before := gateway.Holders(workspace, gateway.Able(members))
		if len(before) != 6 {
			t.Fatalf("got %d holders, want 6", len(before))
		}
		for _, h := range before {
			held[h]++
		}
		remaining := maps.Clone(members)
		delete(remaining, before[0])
		if after := gateway.Holders(workspace, gateway.Able(remaining)); !slices.Equal(after[:5], before[1:]) {
			t.Fatalf("holders %v without %s, want those of %v", after, before[0], before)
		}
	}
	for instance, n := range held {
		if members[instance].Capacity < 800 || n < 110 || n > 210 {
			t.Errorf("%s holds tokens of %d of 400 workspaces, want about 160", instance, n)
		}
	}
}

// TestHoldersOfSmallFleet checks that all gateways of a small fleet of equal machines
// hold tokens, and that weak ones do when no strong one is left.
func TestHoldersOfSmallFleet(t *testing.T) {
	if holders := gateway.Holders("clinics", gateway.Able(fleet(4, 0))); len(holders) != 4 {
		t.Errorf("got holders %v, want all 4", holders)
	}
	if holders := gateway.Holders("clinics", gateway.Able(fleet(0, 20))); len(holders) != 6 {
		t.Errorf("got holders %v, want 6", holders)
	}
	if holders := gateway.Holders("clinics", gateway.Able(nil)); len(holders) != 0 {
		t.Errorf("got holders %v of no members", holders)
	}
}

// TestDivide checks that the shares of all gateways, and of one that has joined unseen,
// never exceed the limit, also when a part of the fleet is no longer observed.
func TestDivide(t *testing.T) {
	for _, n := range []int{4, 23, 103, 400} {
		for _, limit := range []int{12, 96, 360, 940, 5000} {
			count := gateway.Count(0).Observe(n)
			share := count.Divide(limit)
			if share*(n+1) > limit || (share+1)*(n+1) <= limit {
				t.Errorf("%d gateways: a share of %d of %d", n, share, limit)
			}
			if count.Observe(1).Divide(limit) != share {
				t.Errorf("%d gateways: the share of %d grew in a disconnection", n, limit)
			}
		}
	}
	if share := gateway.Count(0).Divide(360); share != 0 {
		t.Errorf("got a share of %d before any gateway was observed, want 0", share)
	}
}

// TestNearest checks that gateways of the same failure domain come first, and that those without an address are left out.
func TestNearest(t *testing.T) {
	members := map[string]gateway.Member{
		"a1": {Address: "10.0.1.1:80", FailureDomain: "a"}, "a2": {Address: "10.0.1.2:80", FailureDomain: "a"},
		"b1": {Address: "10.0.2.1:80", FailureDomain: "b"}, "b2": {Address: "10.0.2.2:80", FailureDomain: "b"}, "b3": {FailureDomain: "b"},
	}
	if got := fmt.Sprint(gateway.Nearest(members, "b1", 2)); got != "[10.0.2.2:80 10.0.1.1:80]" {
		t.Errorf("got %s", got)
	}
	if got := gateway.Nearest(members, "b1", 24); len(got) != 3 {
		t.Errorf("got %v, want all others with an address", got)
	}
}

func TestRoundTrip(t *testing.T) {
	m := gateway.Member{Capacity: 144, Address: "10.0.1.1:80", FailureDomain: "a"}
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := gateway.ParseMember(data); err != nil || got != m {
		t.Errorf("got %+v and %v, want %+v", got, err, m)
	}
}

// TestAllStated checks that a gateway that did not live through the beginning of the era
// keeps the others from treating all grants as known.
func TestAllStated(t *testing.T) {
	members := map[string]gateway.Member{"a": {StatedEra: 3}, "b": {StatedEra: 3}}
	if !gateway.AllStated(members, 3) {
		t.Error("not stated though both gateways stated their grants")
	}
	if gateway.AllStated(members, 4) {
		t.Error("stated in an era in which none did")
	}
	members["b"] = gateway.Member{}
	if gateway.AllStated(members, 3) {
		t.Error("stated though one gateway started later")
	}
	if gateway.AllStated(nil, 3) {
		t.Error("stated though no gateway is known")
	}
}
