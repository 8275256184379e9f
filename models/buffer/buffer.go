// Package buffer divides the memory for responses that are held until they are complete among the
// requests of a process.
package buffer

const (
	// MinBytes is what each response may hold, whatever the others hold.
	MinBytes = 16 << 10
	// memoryDivisor is the part of the process's memory that responses may hold beyond that. As
	// much again is garbage until the next collection.
	memoryDivisor = 8
)

// Budget limits what all responses hold together.
type Budget struct {
	limit int64
	used  int64
}

// SetMemory sets the memory limit of the process in bytes. Responses keep what they hold.
func (b *Budget) SetMemory(bytes int64) { b.limit = bytes / memoryDivisor }

// Resize changes what one response holds, in bytes, and reports whether that is possible. A response
// may always hold less, and up to MinBytes.
func (b *Budget) Resize(from, to int) bool {
	more := counted(to) - counted(from)
	if more > 0 && b.used+more > b.limit {
		return false
	}
	b.used += more
	return true
}

func counted(size int) int64 { return int64(max(0, size-MinBytes)) }
