package call

import "strconv"

// Progress is the part of a response that the caller has received.
type Progress struct {
	// Begun is set once the status line and header were sent.
	Begun bool
	// Events counts the events sent, and LastEventID is the id of the last one. It is empty
	// if that event had none.
	Events      int64
	LastEventID string
	// endedAfter is the id of the last event if a server has ended the stream there in order, but
	// without framing.
	endedAfter string
}

// ConfirmsEnd reports whether an orderly end without framing, after the event with the id, shows that
// the stream is complete: another server must have ended it there too. One such end alone may be a
// crash between two events or after the head, two servers seldom crash at the same event. The load
// that it answers are servers that send streams without framing and are asked for what is left of
// a complete one.
func (p *Progress) ConfirmsEnd(eventID string) bool {
	if eventID == "" || eventID != p.LastEventID {
		return false
	}
	confirmed := p.endedAfter == eventID
	p.endedAfter = eventID
	return confirmed
}

// Accepts reports whether a server's response, or its continuation, may be passed on. Callers
// take all that follows the first byte of a response for a part of it, so only events of a
// successful response can continue one that has begun. A status that promises more than the server
// has stated is not passed on. The load that it answers are streams that break off and are resumed at
// servers that fail.
func (p Progress) Accepts(class ResponseClass, events bool) bool {
	switch class {
	case Succeeded:
		return !p.Begun || events
	case Failed:
		return !p.Begun
	default:
		return false
	}
}

// Resumable reports whether another server can continue the response: it begins after the
// event that it is told. An event without an id names no such point.
func (p Progress) Resumable() bool { return !p.Begun || p.LastEventID != "" }

// Includes reports whether the caller has received the event with the id, as happens if a
// server resumes the stream too early. Ids that are not numbers can't be compared.
func (p Progress) Includes(eventID string) bool {
	if !p.Begun {
		return false
	}
	last, lastErr := strconv.ParseInt(p.LastEventID, 10, 64)
	id, err := strconv.ParseInt(eventID, 10, 64)
	return lastErr == nil && err == nil && id <= last
}
