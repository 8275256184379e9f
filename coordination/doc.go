// Package coordination is a library of pure state for programs whose processes
// agree through a shared, ordered, append-only log instead of through each other.
//
// Every process folds the same records in the same order, and so reaches the
// same state: the position of a record decides whether it counts. No package
// here has a goroutine, socket, clock or random source, and none knows what
// the records are about. They may be used one by one:
//
//   - fence reads a stream that several writers append to, and drops what a
//     writer appended after a newer epoch began, and what it appended twice.
//   - version decides which of several racing changes of one table wins, and
//     remembers who won.
//   - escrow splits a budget among holders that spend without asking, so that
//     together they never spend more than there is.
//   - once registers attempts of work that may run at most once.
//   - drain decides when a process takes no new work and when it may stop.
//
// Together: a stream is read through fence, and each record that it accepts is
// applied to one of version, escrow and once. Their state, with the offset after
// the last record, goes into a checkpoint. A planned stop is a change in a
// version table, which each process that reads it gives to drain.
package coordination
