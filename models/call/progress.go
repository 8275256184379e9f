package call

import "strconv"

// Progress is the part of a stream that the caller has received.
type Progress struct {
	// Begun is set once the status line and header were sent.
	Begun bool
	// Events counts the events sent, and LastEventID is the id of the last one, or of the one after
	// which the caller resumes the stream. It is empty if that event had none.
	Events      int64
	LastEventID string
	// steps counts the events whose ids were by one higher than those before them, and irregular is
	// set once an event's was not.
	steps     int
	irregular bool
	// endedAfter is the id of the last event if a server has ended the stream there in order, but
	// without framing.
	endedAfter string
}

// RecordEvent records that an event with the id was sent.
func (p *Progress) RecordEvent(id string) {
	if p.Events > 0 || p.LastEventID != "" {
		if p.follows(id) {
			p.steps++
		} else {
			p.irregular = true
		}
	}
	p.Events++
	p.LastEventID = id
}

// follows reports whether the id is by one higher than the last.
func (p Progress) follows(id string) bool {
	last, n, ok := p.numbers(id)
	return ok && n == last+1
}

// numbers returns the last id and the given one, and whether both are numbers.
func (p Progress) numbers(id string) (last, n int64, ok bool) {
	last, lastErr := strconv.ParseInt(p.LastEventID, 10, 64)
	n, err := strconv.ParseInt(id, 10, 64)
	return last, n, lastErr == nil && err == nil
}

// ConfirmsEnd reports whether an orderly end without framing, after the event with the id, shows that
// the stream may be complete: another server must have ended it there too. Each such end may be a
// crash between two events or after the head. The load that it answers are servers that send streams
// without framing and are asked for what is left of a complete one.
func (p *Progress) ConfirmsEnd(eventID string) bool {
	if eventID == "" || eventID != p.LastEventID {
		return false
	}
	confirmed := p.endedAfter == eventID
	p.endedAfter = eventID
	return confirmed
}

// EndsEarlier reports whether a response that ends after the event with the id ends before what the
// caller has received, so that its end isn't that of the stream.
func (p Progress) EndsEarlier(eventID string) bool {
	last, n, ok := p.numbers(eventID)
	return ok && n < last
}

// Accepts reports whether a server's response, or its continuation, may be passed on. Callers
// take all that follows the first byte of a response for a part of it, so only events of a
// successful response can continue one that has begun, or a stream that the caller resumes. The
// load that it answers are streams that break off and are resumed at servers that fail.
func (p Progress) Accepts(class ResponseClass, events bool) bool {
	switch class {
	case Succeeded:
		return events || (!p.Begun && p.LastEventID == "")
	case Failed:
		return !p.Begun
	default:
		return false
	}
}

// Resumable reports whether another server can continue the response: it begins after the
// event that it is told. An event without an id names no such point, and with one that isn't a
// number nothing shows whether a server has begun there.
func (p Progress) Resumable() bool {
	_, _, numbered := p.numbers(p.LastEventID)
	return !p.Begun || numbered
}

// Includes reports whether the caller has received the event with the id, as happens if a
// server resumes the stream too early. Ids increase, but those that are not numbers can't be
// compared.
func (p Progress) Includes(eventID string) bool {
	last, n, ok := p.numbers(eventID)
	return (ok && n <= last) || (!ok && eventID != "" && eventID == p.LastEventID)
}

// Continues reports whether the event with the id can be the next one, if another server than the
// one before sends it. Ids need not be consecutive, but if all so far were, a gap shows that the server
// resumed the stream too late. An event without an id has no place to be compared.
func (p Progress) Continues(eventID string) bool {
	if !p.Begun || eventID == "" {
		return true
	}
	_, _, ok := p.numbers(eventID)
	return ok && (p.irregular || p.steps == 0 || p.follows(eventID))
}
