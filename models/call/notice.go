package call

import "time"

// Notice is what a server announces about itself in the header of a response.
type Notice struct {
	// Draining is whether the server takes no new requests and ends soon.
	Draining bool
	// Backoff is how long this gateway must send the server nothing, or 0.
	Backoff time.Duration
	// Limit is the number of requests per second that the server takes from all gateways
	// together, or 0 if it names no limit.
	Limit float64
	// LimitUndecoded is whether the server names a limit that can't be decoded.
	LimitUndecoded bool
}
