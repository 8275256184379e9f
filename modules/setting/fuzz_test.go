package setting_test

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

// Whatever a file holds, it is either taken or refused in one line.
func FuzzDecode(f *testing.F) {
	f.Add(sidecarYAML)
	f.Add("server: [")
	f.Add("- a\n- b")
	f.Add("peer:\n  seeds: &a\n    - 127.0.0.1:1\n  listen: *a")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := setting.Decode("s.yaml", []byte(text), setting.Default())
		if err == nil {
			return
		}
		var problem *setting.Error
		if !errors.As(err, &problem) {
			t.Fatalf("an error without place: %v", err)
		}
		if strings.Contains(problem.Error(), "\n") {
			t.Fatalf("more than one line: %q", problem.Error())
		}
	})
}
