// Package coordination contains replicated state machines for programs whose
// processes coordinate through a shared, ordered, append-only log.
//
// Every process applies the same records in the same order and therefore reaches
// the same state. The position of a record in the log decides whether the record
// takes effect. The packages are deterministic: they use no goroutines, sockets,
// clocks or random numbers. They do not depend on the application's record contents
// and can be used separately:
//
//   - fence filters a stream with several writers. It rejects duplicates and the
//     records that a writer appended after a newer epoch had started.
//   - version decides which of several concurrent changes of a table takes effect,
//     and keeps a history of the changes.
//   - escrow divides a budget among holders that spend their shares without further
//     coordination, so that the total never exceeds the budget.
//   - once registers attempts of work that must run at most once.
//   - drain decides when a process refuses new work and when it can stop safely.
//
// To combine them, read a stream with fence and apply each accepted record to a
// version, escrow or once state. A checkpoint stores these states and the offset
// after the last record. A planned stop is a change in a version table; each
// process passes it to its drain state.
package coordination
