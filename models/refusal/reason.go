package refusal

import "github.com/pkg/errors"

//go:generate stringer -type=Reason,Outcome -linecomment -output=reason_string.go

// Reason says why a request was refused or ended without an answer. Its String
// is the name used on the wire, in logs and as the label of counters.
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
)

// Reasons lists every reason, so that counters can exist before first use.
func Reasons() []Reason {
	all := make([]Reason, 0, int(ShuttingDown)+1)
	for r := Unspecified; r <= ShuttingDown; r++ {
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

// Outcome says what is known of a request that got no whole answer.
type Outcome int

// The outcomes.
const (
	NotRun  Outcome = iota // notRun
	Unknown                // unknown
)

// ParseOutcome returns the outcome with the given wire name. A name that is
// not known reads as Unknown, which promises least.
func ParseOutcome(name string) Outcome {
	if name == NotRun.String() {
		return NotRun
	}
	return Unknown
}
