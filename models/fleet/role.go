package fleet

//go:generate stringer -type=Role,Cause -linecomment -output=role_string.go

// Role is what a member does.
type Role int

// The roles.
const (
	Entry   Role = iota // entry
	Sidecar             // sidecar
)

// Cause says why an event had no effect.
type Cause int

// The causes.
const (
	Duplicate     Cause = iota // duplicate
	BaseMoved                  // baseMoved
	UnknownEvent               // unknownEvent
	UnknownServer              // unknownServer
	AlreadyDone                // alreadyDone
	Gone                       // gone
	OldEpoch                   // oldEpoch
)
