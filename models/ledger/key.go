package ledger

import (
	"time"

	"github.com/google/uuid"
)

// uuidTimed is the version of UUIDs that begin with their time.
const uuidTimed = 7

// KeyTime returns when a caller's idempotency key was made, if the key is a
// UUIDv7, and otherwise the zero time.
//
// A key with a time is safe for ever: once the registry may have forgotten it, it
// is not registered again. A key without one must not be used for a retry later
// than once.DefaultWindow after its first use.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidTimed {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime()).UTC()
}
