package fleet

import "fmt"

// Result says what an event did.
type Result interface {
	isResult()
}

// Applied says that the event took effect.
type Applied struct {
	// Version is the version of the tables after the event.
	Version int64
}

// Ignored says that the event had no effect, and why.
type Ignored struct {
	Cause Cause
	// Detail is one sentence for the event's writer.
	Detail string
	// Winner is the publication that took the base, if Cause is BaseMoved and
	// it is still remembered.
	Winner Publication
}

func (Applied) isResult() {}
func (Ignored) isResult() {}

func ignored(cause Cause, format string, args ...any) Ignored {
	return Ignored{Cause: cause, Detail: fmt.Sprintf(format, args...)}
}
