package call

// Whole reports whether a response whose body ended without an error has arrived whole. Its framing
// says so, by a length or chunks. A body that ends with its connection also ends there if the server
// stops: of the bytes that were to come nothing is known then, so that some must have arrived.
// The load that it answers are servers that stop between the head and the body of a response.
func Whole(framed bool, received int) bool { return framed || received > 0 }

// EndProven reports whether a stream that ended in order is known to be complete: its framing says
// so, or all the tokens that were asked for have been sent. Otherwise the server may have stopped
// between two events, as a process does that ends. The load that it answers are servers that are
// killed while they send streams without framing.
func EndProven(framed bool, sentTokens, outputTokens int64) bool {
	return framed || (outputTokens > 0 && sentTokens >= outputTokens)
}
