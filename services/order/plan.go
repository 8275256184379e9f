package order

import (
	"maps"
	"slices"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/server"
)

// DesiredState returns the state that the tables specify for the model engine of a
// backend server. An empty role or an empty list of models means that the engine
// keeps its current one.
func DesiredState(t *table.Tables, name string) server.EngineState {
	var desired server.EngineState
	for _, pool := range slices.Sorted(maps.Keys(t.Pools)) {
		p := t.Pools[pool]
		if !slices.Contains(p.Servers, name) {
			continue
		}
		if p.Role != "" {
			desired.Role = p.Role
		}
		desired.Models = append(desired.Models, p.Models...)
	}
	slices.Sort(desired.Models)
	desired.Models = slices.Compact(desired.Models)
	return desired
}

// PlanOrders returns the orders that change the reported state into the desired
// state. Models are unloaded before others are loaded, so that there is memory for
// them.
func PlanOrders(desired, reported server.EngineState) []server.Order {
	var orders []server.Order
	if len(desired.Models) > 0 {
		for _, m := range reported.Models {
			if !slices.Contains(desired.Models, m) {
				orders = append(orders, server.Order{Order: server.OrderUnload, Model: m})
			}
		}
	}
	for _, m := range desired.Models {
		if !slices.Contains(reported.Models, m) {
			orders = append(orders, server.Order{Order: server.OrderLoad, Model: m})
		}
	}
	if desired.Role != "" && desired.Role != reported.Role {
		orders = append(orders, server.Order{Order: server.OrderRole, Role: desired.Role})
	}
	return orders
}
