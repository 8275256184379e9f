package setting

import "fmt"

// Error describes an invalid value in a file.
type Error struct {
	File string
	// Line is the line number, starting at 1, or 0 for the whole file.
	Line int
	// Key is the path of the value, such as peer.listen, or empty for the whole file.
	Key     string
	Problem string
}

// Error implements error. The text is a single line.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", location, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Key, e.Problem)
}
