package refusal

import "github.com/pkg/errors"

//go:generate stringer -type=Reason,Outcome -linecomment -output=reason_string.go

// Reason is why a request was refused or ended without a response. Its String is
// the name used on the wire, in logs and as a metric label.
type Reason int

// The reasons.
const (
	Unspecified           Reason = iota // unspecified
	InvalidRequest                      // invalidRequest
	BodyTooLarge                        // bodyTooLarge
	Unauthenticated                     // unauthenticated
	UnknownWorkspace                    // unknownWorkspace
	UnknownKind                         // unknownKind
	DeadlineExpired                     // deadlineExpired
	MissingIdempotencyKey               // missingIdempotencyKey
	KeyReused                           // keyReused
	BudgetExhausted                     // budgetExhausted
	BudgetUnreachable                   // budgetUnreachable
	RegistryUnreachable                 // registryUnreachable
	QueueFull                           // queueFull
	DeadlineUnreachable                 // deadlineUnreachable
	ShareExceeded                       // shareExceeded
	TooManyStreams                      // tooManyStreams
	NotReady                            // notReady
	NoServer                            // noServer
	Draining                            // draining
	Fenced                              // fenced
	WrongIncarnation                    // wrongIncarnation
	NotFound                            // notFound
	RetryBudget                         // retryBudget
	ServerFailed                        // serverFailed
	ServerRejected                      // serverRejected
	OutcomeUnknown                      // outcomeUnknown
	ShuttingDown                        // shuttingDown
	Overloaded                          // overloaded
	Quarantined                         // quarantined
	OriginUnknown                       // originUnknown
	VersionGone                         // versionGone
	Superseded                          // superseded
)

// Reasons returns all reasons, so that counters can be created before their first
// use.
func Reasons() []Reason {
	all := make([]Reason, 0, int(Superseded)+1)
	for r := Unspecified; r <= Superseded; r++ {
		all = append(all, r)
	}
	return all
}

// ParseReason returns the reason with the given wire name.
func ParseReason(name string) (Reason, error) {
	for _, r := range Reasons() {
		if r.String() == name {
			return r, nil
		}
	}
	return Unspecified, errors.Errorf("unknown refusal reason %q", name)
}

// Outcome is whether a request without a complete response is known not to have
// run.
type Outcome int

// The outcomes.
const (
	NotRun  Outcome = iota // notRun
	Unknown                // unknown
)

// ParseOutcome returns the outcome with the given wire name. Any other name returns
// Unknown, which makes the weakest statement.
func ParseOutcome(name string) Outcome {
	if name == NotRun.String() {
		return NotRun
	}
	return Unknown
}
