package order

import (
	"maps"
	"slices"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/server"
)

// DesiredState returns what the tables ask of a backend server's engine. No role or
// no models leaves the engine's own.
func DesiredState(t *table.Tables, name string) server.EngineState {
	var want server.EngineState
	for _, pool := range slices.Sorted(maps.Keys(t.Pools)) {
		p := t.Pools[pool]
		if !slices.Contains(p.Servers, name) {
			continue
		}
		if p.Role != "" {
			want.Role = p.Role
		}
		want.Models = append(want.Models, p.Models...)
	}
	slices.Sort(want.Models)
	want.Models = slices.Compact(want.Models)
	return want
}

// PlanOrders returns the orders that turn what an engine reports into what is wanted:
// models that are not wanted make room before others are loaded.
func PlanOrders(want, has server.EngineState) []server.Order {
	var orders []server.Order
	if len(want.Models) > 0 {
		for _, m := range has.Models {
			if !slices.Contains(want.Models, m) {
				orders = append(orders, server.Order{Order: server.OrderUnload, Model: m})
			}
		}
	}
	for _, m := range want.Models {
		if !slices.Contains(has.Models, m) {
			orders = append(orders, server.Order{Order: server.OrderLoad, Model: m})
		}
	}
	if want.Role != "" && want.Role != has.Role {
		orders = append(orders, server.Order{Order: server.OrderRole, Role: want.Role})
	}
	return orders
}
