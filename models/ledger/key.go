package ledger

import (
	"time"

	"github.com/google/uuid"
)

// uuidVersion7 is the version of UUIDs that start with a timestamp.
const uuidVersion7 = 7

// KeyTime returns the creation time of a caller's idempotency key if the key is a
// UUIDv7, and otherwise the zero time.
//
// A key with a creation time can be retried at any time: if the registry may have
// dropped its record, the registration is rejected as expired. A key without one
// must not be used for a retry later than once.DefaultRetention after its first
// use.
func KeyTime(key string) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}
	}
	return time.Unix(id.Time().UnixTime()).UTC()
}
