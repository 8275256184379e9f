package engine

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Order tells the engine to load something or to change its role.
type Order struct {
	FencingNumber int64 `json:"fencingNumber"`
	// Order is "load", "unload" or "role".
	Order string `json:"order"`
	// Model is what to load or unload: a model, adapter or version.
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Sender says who gave the order.
	Sender string `json:"sender,omitempty"`
}

// OrderRecord is an order that came and whether it was carried out.
type OrderRecord struct {
	Order
	Applied bool `json:"applied"`
}

// FencedError says that an order had an old fencing number.
type FencedError struct {
	Number  int64
	Highest int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is below %d", e.Number, e.Highest)
}

// ExecuteOrder carries out an order. It returns a *FencedError for an old fencing number
// unless Faults.IgnoreFencing is set.
func (e *Engine) ExecuteOrder(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingNumber < e.highestFencingNumber && !e.faults.IgnoreFencing {
		e.orders = append(e.orders, OrderRecord{Order: o})
		return &FencedError{Number: o.FencingNumber, Highest: e.highestFencingNumber}
	}
	if err := e.applyOrder(o); err != nil {
		return err
	}
	e.highestFencingNumber = max(e.highestFencingNumber, o.FencingNumber)
	e.orders = append(e.orders, OrderRecord{Order: o, Applied: true})
	e.recordLoad()
	return nil
}

func (e *Engine) applyOrder(o Order) error {
	switch o.Order {
	case "load":
		if !slices.Contains(e.models, o.Model) {
			e.models = append(e.models, o.Model)
		}
	case "unload":
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	case "role":
		e.role = o.Role
	default:
		return errors.Errorf("unknown order %q: use load, unload or role", o.Order)
	}
	return nil
}

// Orders returns all orders that came, in their order.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// KVCache is the exported KV cache of a request. The stand-in exports the tokens
// themselves.
type KVCache struct {
	RequestID    string   `json:"requestId"`
	PromptTokens int      `json:"promptTokens"`
	Tokens       []string `json:"tokens"`
}

// Export returns the KV cache of a request that the engine took.
func (e *Engine) Export(requestID string) (KVCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Backward(e.runs) {
		if r.stream.id == requestID {
			return KVCache{
				RequestID:    requestID,
				PromptTokens: r.stream.promptTokens,
				Tokens:       slices.Clone(r.stream.tokens),
			}, nil
		}
	}
	return KVCache{}, errUnknownRequest
}

// Import puts an exported KV cache into the prefix cache, so that a resumed
// request needs no prefill of it.
func (e *Engine) Import(c KVCache) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cache.store(e.now(), c.Tokens)
	e.recordLoad()
}
