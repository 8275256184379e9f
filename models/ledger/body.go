package ledger

import "time"

// ApplyBody applies the entries of one record's body and calls observe with each
// entry and its effect. A malformed body is skipped as a whole, by all readers
// alike.
func (s *State) ApplyBody(at time.Time, body []byte, observe func(Entry, Effect)) {
	entries, err := Decode(body)
	if err != nil {
		return
	}
	for _, e := range entries {
		effect := s.Apply(at, e)
		if observe != nil {
			observe(e, effect)
		}
	}
}
