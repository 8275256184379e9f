package cmd

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/crocusline/crocusline/modules/setting"
)

// TestEachSettingHasAnEffect checks that the source files in which the processes are
// assembled and the settings are validated contain a use of each setting.
func TestEachSettingHasAnEffect(t *testing.T) {
	var source strings.Builder
	for _, file := range []string{"process.go", "entry.go", "sidecar.go", "../modules/setting/setting.go"} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		source.Write(data)
	}
	settings := reflect.TypeFor[setting.Settings]()
	for i := range settings.NumField() {
		section := settings.Field(i)
		fields := section.Type
		if fields.Kind() == reflect.Pointer {
			fields = fields.Elem()
		}
		for j := range fields.NumField() {
			use := regexp.MustCompile(`\.` + fields.Field(j).Name + `\b`)
			if !use.MatchString(source.String()) {
				t.Errorf("the setting %s.%s has no effect", section.Name, fields.Field(j).Name)
			}
		}
	}
}
