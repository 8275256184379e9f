package memory

import (
	"context"
	"fmt"
	"sync"
)

// Response is the memory that one response has reserved beyond what each may hold. It is safe for concurrent use. A nil
// Response has no limit.
type Response struct {
	service *Service

	mu    sync.Mutex
	bytes int
}

// NewResponse returns the reservation of a response, which holds nothing yet.
func (s *Service) NewResponse() *Response { return &Response{service: s} }

// Grow reserves more bytes and reports whether that is possible.
func (r *Response) Grow(bytes int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.service.ResizeResponse(r.bytes, r.bytes+bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Shrink returns some of the bytes.
func (r *Response) Shrink(bytes int) { r.Grow(-bytes) }

// Release returns what is reserved. Further calls have no effect.
func (r *Response) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service.ResizeResponse(r.bytes, 0)
	r.bytes = 0
}

// responseKey is the key of a Response in a context.
type responseKey struct{}

// WithResponse returns a context in which a response is received.
func WithResponse(ctx context.Context, r *Response) context.Context {
	return context.WithValue(ctx, responseKey{}, r)
}

// ResponseOf returns the response of the context, or nil.
func ResponseOf(ctx context.Context) *Response {
	r, _ := ctx.Value(responseKey{}).(*Response)
	return r
}

// ResponseError means that the responses in progress leave no memory for a part of this one.
type ResponseError struct {
	// Bytes is what the part needs.
	Bytes int
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("the responses in progress leave no memory for %d bytes of this one", e.Bytes)
}
