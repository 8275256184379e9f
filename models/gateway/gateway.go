// Package gateway describes the gateways of a fleet, selects those that hold a
// workspace's tokens, and divides limits that all gateways share.
package gateway

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/prepaid"
)

// Member describes a gateway to the others.
type Member struct {
	// Capacity is the processor share of the machine in thousandths of a core.
	Capacity int64 `cbor:"1,keyasint"`
	// StatedEra is the store's era whose beginning the process lived through, and in which
	// it has stated all its grants again, or 0.
	StatedEra int64 `cbor:"2,keyasint,omitempty"`
	// Era is the store's era in which the process started.
	Era int64 `cbor:"3,keyasint,omitempty"`
	// Restored is whether the store had returned from a copy when the process started, so that
	// it may lack grants of others.
	Restored bool `cbor:"4,keyasint,omitempty"`
	// Start is the clock of the machine at the start of the process, or the zero value.
	Start prepaid.ClockReading `cbor:"5,keyasint,omitzero"`
	// Address is where other gateways call the process, or empty, and FailureDomain that of the machine.
	Address       string `cbor:"6,keyasint,omitempty"`
	FailureDomain string `cbor:"7,keyasint,omitempty"`
}

// Nearest returns the addresses of at most n members other than self, those of its failure domain first.
// The load that it answers are callers that come back at another gateway, which is one of the same
// failure domain.
func Nearest(members map[string]Member, self string, n int) []netip.AddrPort {
	domain := members[self].FailureDomain
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(members)), func(name string) bool { return name == self })
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(distance(domain, members[a]), distance(domain, members[b]))
	})
	var nearest []netip.AddrPort
	for _, name := range names {
		// Members of older releases have no address.
		if address, err := netip.ParseAddrPort(members[name].Address); err == nil && len(nearest) < n {
			nearest = append(nearest, address)
		}
	}
	return nearest
}

func distance(domain string, m Member) int {
	if m.FailureDomain == domain {
		return 0
	}
	return 1
}

// AllStated reports whether all gateways have stated their grants in the store's era. A
// gateway states them only once those that it knew before are members again.
func AllStated(members map[string]Member, era int64) bool {
	for _, m := range members {
		if m.StatedEra != era {
			return false
		}
	}
	return len(members) > 0
}

// Release tells all gateways that nothing granted before the store's era is unknown in it.
type Release struct {
	Era int64 `cbor:"1,keyasint"`
}

// ParseRelease decodes a release.
func ParseRelease(data []byte) (Release, error) {
	var r Release
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode release")
}

// Encode encodes the release for the store.
func (r Release) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode release")
}

// ParseMember decodes a member.
func ParseMember(data []byte) (Member, error) {
	var m Member
	err := cbor.Unmarshal(data, &m)
	return m, errors.Wrap(err, "decode member")
}

// Encode encodes the member for the store.
func (m Member) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encode member")
}

const (
	// holdersPerWorkspace is the number of gateways that hold a workspace's tokens. Each
	// part must be larger than a request, and the loss of one gateway must leave most of
	// the tokens usable.
	holdersPerWorkspace = 6
	// minCapacityRatio is the part of the largest capacity that a holder has at least.
	minCapacityRatio = 0.5
)

// Able returns the instances that are strong enough to hold tokens.
func Able(members map[string]Member) []string {
	var largest int64
	for _, m := range members {
		largest = max(largest, m.Capacity)
	}
	var able []string
	for instance, m := range members {
		if float64(m.Capacity) >= minCapacityRatio*float64(largest) {
			able = append(able, instance)
		}
	}
	return able
}

// Holders returns those of the able instances that hold the workspace's tokens, in order of
// preference. It is designed for fleets of unequal machines in which a share of the
// tokens for each machine would be smaller than a request. Gateways that know the same
// members choose the same holders, by rendezvous hashing.
func Holders(workspace string, able []string) []string {
	able = slices.Clone(able)
	slices.SortFunc(able, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(workspace, b), rank(workspace, a)), cmp.Compare(a, b))
	})
	return able[:min(holdersPerWorkspace, len(able))]
}

func rank(workspace, instance string) uint64 {
	return xxhash.Sum64String(workspace + "\x1f" + instance)
}

const (
	// unknownCount is the number of gateways assumed while none are known: as many as the
	// largest planned fleet has.
	unknownCount = 400
	// minCount is the smallest number of gateways among which a limit is divided.
	minCount = 4
)

// Count is the largest number of gateways observed. It doesn't fall when gateways leave
// or can't be observed, as those may still use their share.
type Count int

// Observe returns the count after n gateways were observed.
func (c Count) Observe(n int) Count { return max(c, Count(n)) }

// Known is whether any gateway was observed.
func (c Count) Known() bool { return c > 0 }

// Divide returns this gateway's share of a limit that all gateways share, rounded down.
// One more gateway may join before the others have observed it.
func (c Count) Divide(limit int) int {
	n := unknownCount
	if c.Known() {
		n = max(int(c), minCount)
	}
	return limit / (n + 1)
}
