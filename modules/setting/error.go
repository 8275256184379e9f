package setting

import "fmt"

// Error says what is wrong with one value of a file.
type Error struct {
	File string
	// Line counts from 1. 0 means the file as a whole.
	Line int
	// Key is the path of the value, such as peer.listen. It may be empty.
	Key     string
	Problem string
}

// Error implements error. It is one line.
func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", where, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", where, e.Key, e.Problem)
}
