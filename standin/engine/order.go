package engine

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// Order is a command to load or unload a model or to change the engine's role.
type Order struct {
	FencingNumber int64 `json:"fencingNumber"`
	// Order is "load", "unload" or "role".
	Order string `json:"order"`
	// Model identifies the model, adapter or version to load or unload.
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
	// Sender identifies the issuer of the order.
	Sender string `json:"sender,omitempty"`
}

// OrderRecord is a received order and whether it was executed.
type OrderRecord struct {
	Order
	Applied bool `json:"applied"`
}

// FencedError reports an order whose fencing number is below the highest seen.
type FencedError struct {
	Number  int64
	Highest int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is below %d", e.Number, e.Highest)
}

// ExecuteOrder executes an order. It returns a *FencedError for an outdated fencing
// number unless Faults.IgnoreFencing is set.
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

// Orders returns the executed and the fenced orders, in order of arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// KVCache is the exported KV cache of a request. The simulated cache contains the
// tokens themselves.
type KVCache struct {
	RequestID    string   `json:"requestId"`
	PromptTokens int      `json:"promptTokens"`
	Tokens       []string `json:"tokens"`
}

// Export returns the KV cache of a request that the engine accepted.
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

// Import adds an exported KV cache to the prefix cache, so that a resumed request
// doesn't need to prefill those tokens.
func (e *Engine) Import(c KVCache) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.cache.store(e.now(), c.Tokens)
	e.recordLoad()
}
