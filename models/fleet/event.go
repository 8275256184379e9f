// Package fleet is the pure state of the control stream: the tables in force,
// the fleet's members and hints at the owners of ledger shards. Every process
// folds the same stream and so holds the same state.
package fleet

import (
	"net/netip"

	"github.com/crocusline/crocusline/models/table"
)

// Event is one change. The position in the stream decides whether it takes
// effect; every reader decides alike.
type Event interface {
	isEvent()
}

// Publish replaces the tables by a new version. It takes effect only if no
// other publication came between its base and itself.
type Publish struct {
	// ID is unique. A second record of the same ID has no effect.
	ID    string      `json:"id"`
	By    string      `json:"by"`
	Delta table.Delta `json:"delta"`
}

// PlanStop plans the stop of a backend server: it gets no new work.
type PlanStop struct {
	ID     string `json:"id"`
	By     string `json:"by"`
	Server string `json:"server"`
}

// EndStop takes the server back into service.
type EndStop struct {
	ID     string `json:"id"`
	By     string `json:"by"`
	Server string `json:"server"`
}

// Register makes an incarnation known. It replaces an earlier incarnation of
// the same name, which never comes back.
type Register struct {
	Member Member `json:"member"`
}

// Retire says that an incarnation has ended in an orderly way.
type Retire struct {
	Incarnation string `json:"incarnation"`
}

// Fence says that an incarnation counts as gone, whether or not it still runs.
type Fence struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
}

// OwnerHint says where the owner of a ledger shard is reached. The shard's own
// stream decides who owns it.
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

// Member is one process of the fleet.
type Member struct {
	Incarnation string `json:"incarnation"`
	Role        Role   `json:"role"`
	// Name is the instance's name.
	Name string `json:"name"`
	// Server is the backend server beside a sidecar.
	Server        string         `json:"server,omitempty"`
	Address       netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	// Shards is the number of ledger shards that the process is set to. It must
	// be the same in the whole fleet.
	Shards int `json:"shards,omitempty"`
}

func (Publish) isEvent()   {}
func (PlanStop) isEvent()  {}
func (EndStop) isEvent()   {}
func (Register) isEvent()  {}
func (Retire) isEvent()    {}
func (Fence) isEvent()     {}
func (OwnerHint) isEvent() {}
