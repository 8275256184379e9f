package fleet

import "fmt"

// Result is the effect of an event: Applied or Ignored.
type Result interface {
	isResult()
}

// Applied is the result of an event that took effect.
type Applied struct {
	// Version is the version of the tables after the event.
	Version int64
}

// Ignored is the result of an event that had no effect.
type Ignored struct {
	Cause Cause
	// Detail describes the cause to the process that published the event.
	Detail string
	// Winner is the publication that took effect on the same base. It is set if
	// Cause is BaseMoved and the history still contains the publication.
	Winner Publication
}

func (Applied) isResult() {}
func (Ignored) isResult() {}

func ignored(cause Cause, format string, args ...any) Ignored {
	return Ignored{Cause: cause, Detail: fmt.Sprintf(format, args...)}
}
