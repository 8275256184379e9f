package crowd

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Process is a running process, by its id.
type Process int

// ResetPeak makes PeakBytes return the largest resident size from now on.
func (p Process) ResetPeak() error {
	const resetPeak = "5"
	return errors.WithStack(os.WriteFile(p.file("clear_refs"), []byte(resetPeak), 0o200))
}

// PeakBytes returns the largest resident size since ResetPeak.
func (p Process) PeakBytes() (int64, error) {
	text, err := os.ReadFile(p.file("status"))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, errors.Errorf("process %d has ended", p)
}

// Descriptors returns the number of open file descriptors.
func (p Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(p.file("fd"))
	return len(entries), errors.WithStack(err)
}

func (p Process) file(name string) string { return fmt.Sprintf("/proc/%d/%s", p, name) }
