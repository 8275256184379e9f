package setting_test

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/modules/setting"
)

// For any content, Decode succeeds or returns a *setting.Error with a single line of
// text.
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
		var settingErr *setting.Error
		if !errors.As(err, &settingErr) {
			t.Fatalf("not a *setting.Error: %v", err)
		}
		if strings.Contains(settingErr.Error(), "\n") {
			t.Fatalf("more than one line: %q", settingErr.Error())
		}
	})
}
