package fleet

//go:generate stringer -type=Role,Cause -linecomment -output=role_string.go

// Role is the kind of process that a member is: an entry instance or a sidecar.
type Role int

// Roles of members.
const (
	Entry   Role = iota // entry
	Sidecar             // sidecar
)

// Cause is the reason why an event had no effect.
type Cause int

// Causes of ignored events.
const (
	Duplicate     Cause = iota // duplicate
	BaseMoved                  // baseMoved
	UnknownEvent               // unknownEvent
	UnknownServer              // unknownServer
	AlreadyDone                // alreadyDone
	Gone                       // gone
	OldEpoch                   // oldEpoch
)
