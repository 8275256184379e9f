// Package fleet is the state machine of the control stream: the current tables, the
// members of the fleet and the addresses of the ledger shards' owners. Every process
// applies the same events in the same order, and so has the same state. The package
// does no I/O.
package fleet

import (
	"net/netip"

	"github.com/crocusline/crocusline/models/table"
)

// Event is a change of the state. Whether it takes effect depends only on the events
// before it in the stream, so that all readers agree.
type Event interface {
	isEvent()
}

// Publish replaces the tables by a new version. It takes effect only if its base is
// still the last published version.
type Publish struct {
	// ID is unique. A second event with the same ID has no effect.
	ID    string      `json:"id"`
	By    string      `json:"by"`
	Delta table.Delta `json:"delta"`
}

// PlanStop plans the stop of a backend server, which then gets no new requests.
type PlanStop struct {
	ID     string `json:"id"`
	By     string `json:"by"`
	Server string `json:"server"`
}

// EndStop cancels the planned stop of a backend server, which then gets requests
// again.
type EndStop struct {
	ID     string `json:"id"`
	By     string `json:"by"`
	Server string `json:"server"`
}

// Register adds an incarnation to the members. It ends an earlier incarnation of the
// same name or backend server, which can't register again.
type Register struct {
	Member Member `json:"member"`
}

// Retire removes an incarnation that has shut down.
type Retire struct {
	Incarnation string `json:"incarnation"`
}

// Fence removes an incarnation from the members for good, even if its process still
// runs.
type Fence struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
}

// OwnerHint is the last known owner of a ledger shard. It may be out of date: the
// shard's own stream determines its owner.
type OwnerHint struct {
	Shard int   `json:"shard"`
	Owner Owner `json:"owner"`
}

// Owner is the process that owns a ledger shard.
type Owner struct {
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	Epoch       int64          `json:"epoch"`
}

// Member is a process of the fleet.
type Member struct {
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	// Name is the instance's name.
	Name string `json:"name"`
	// Server is the backend server of a sidecar.
	Server        string         `json:"server,omitempty"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	// Shards is the number of ledger shards in the process's settings. It must be
	// the same in the whole fleet.
	Shards int `json:"shards,omitempty"`
}

func (Publish) isEvent()   {}
func (PlanStop) isEvent()  {}
func (EndStop) isEvent()   {}
func (Register) isEvent()  {}
func (Retire) isEvent()    {}
func (Fence) isEvent()     {}
func (OwnerHint) isEvent() {}
