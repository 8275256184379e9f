// Package memory divides the memory of a process among the requests in progress: their bodies, the
// responses that are held until they are complete, and the connections of callers. It is designed for
// callers that send many bodies of the largest size at once, stop short of their end and keep the
// connections open.
package memory

const (
	// MinResponseBytes is what each response may hold, whatever the others hold. It is part of
	// RequestBytes.
	MinResponseBytes = 16 << 10
	// RequestBytes is what each request in progress holds without its body: its header, its
	// goroutines, and the least size of its response.
	RequestBytes = 24 << 10
	// CallBytes is the same for a call at an entry, which relays it over a connection to a sidecar.
	CallBytes = 96 << 10
	// CallCopies is how often an entry holds the body of a call at once: in a buffer that may be twice as large
	// as the message, and decoded, or encoded again for the sidecar.
	CallCopies = 3
	// LargeBytes is the size from which a request is large. Ordinary bodies have at most 100,000 bytes;
	// in chunks they are read in parts of 120 KiB together, which are held twice when they are joined.
	LargeBytes = RequestBytes + 256<<10
)

// Budget limits what all requests in progress hold together. It is not safe for concurrent use.
type Budget struct {
	plan Plan
	// requests and responses are the bytes held. Those of large requests are part of requests.
	requests  int64
	large     int64
	responses int64
}

// SetLimit sets the memory limit of the process in bytes. Requests and responses keep what they hold.
func (b *Budget) SetLimit(bytes int64) { b.plan = NewPlan(bytes) }

// Plan returns the division of the memory limit.
func (b *Budget) Plan() Plan { return b.plan }

// Held returns the number of bytes that requests and responses hold.
func (b *Budget) Held() int64 { return b.requests + b.responses }

// ResizeRequest changes what one request holds, in bytes, and reports whether that is possible. A
// request may always hold less. Large requests leave a part to the others, which a few large bodies
// that stop short of their end would take otherwise.
func (b *Budget) ResizeRequest(from, to int64) bool {
	more, moreLarge := to-from, largeBytes(to)-largeBytes(from)
	if more > 0 && (b.Held()+more > b.plan.Total || moreLarge > 0 && b.large+moreLarge > b.plan.Large) {
		return false
	}
	b.requests += more
	b.large += moreLarge
	return true
}

func largeBytes(size int64) int64 {
	if size < LargeBytes {
		return 0
	}
	return size
}

// ResizeResponse changes what one response holds, in bytes, and reports whether that is possible. A
// response may always hold less, and up to MinResponseBytes.
func (b *Budget) ResizeResponse(from, to int) bool {
	more := beyondMin(to) - beyondMin(from)
	if more > 0 && (b.Held()+more > b.plan.Total || b.responses+more > b.plan.Responses) {
		return false
	}
	b.responses += more
	return true
}

func beyondMin(size int) int64 { return int64(max(0, size-MinResponseBytes)) }
