package table_test

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/setting"
)

// configurationPage describes all settings and tables.
const configurationPage = "../../docs/CONFIGURATION.md"

// TestConfigurationPage checks that the rows of the page and the fields of the structs
// have the same keys, types and defaults.
func TestConfigurationPage(t *testing.T) {
	defaults := setting.Default()
	defaults.Server = &setting.Server{}
	var want []string
	addRows(&want, "", reflect.ValueOf(*defaults))
	addRows(&want, "", reflect.ValueOf(table.Route{}))
	addRows(&want, "", reflect.ValueOf(table.Pool{}))
	addRows(&want, "", reflect.ValueOf(table.Workspace{}))
	slices.Sort(want)
	got := documentedRows(t)
	slices.Sort(got)
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("%s lacks the row %s", configurationPage, row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("%s has the row %s, but the code has no such field", configurationPage, row)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d rows, want %d", len(got), len(want))
	}
}

// documentedRows returns the first three cells of each row of the page. It reports an
// error for rows whose fourth cell, the meaning of the key, is empty.
func documentedRows(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile(configurationPage)
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(strings.ReplaceAll(line, `\|`, "/"), "|")
		if len(cells) != 6 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		if strings.TrimSpace(cells[4]) == "" {
			t.Errorf("no meaning in %s", line)
		}
		rows = append(rows, strings.Join(cells[1:4], "|"))
	}
	return rows
}

// addRows adds a row for each field of v that has a yaml key, and for those of nested
// structs.
func addRows(rows *[]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if key == "" {
			continue
		}
		at := key
		if path != "" {
			at = path + "." + key
		}
		field := reflect.Indirect(v.Field(i))
		kind := typeName(field)
		if kind == "" {
			addRows(rows, at, field)
			continue
		}
		*rows = append(*rows, fmt.Sprintf(" `%s` | %s | %s", at, kind, defaultOf(field, v.Type().Field(i))))
	}
}

// typeName returns the page's name of a value's type, or "" for a section.
func typeName(v reflect.Value) string {
	switch v.Interface().(type) {
	case time.Duration:
		return "duration"
	case netip.AddrPort:
		return "address"
	case []netip.AddrPort:
		return "list of addresses"
	case []string:
		return "list of texts"
	case fmt.Stringer:
		return "text"
	}
	switch v.Kind() {
	case reflect.Struct:
		return ""
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "text"
	default:
		return "whole number"
	}
}

// defaultOf returns the cell of a value's default. Required values have none.
func defaultOf(v reflect.Value, field reflect.StructField) string {
	check := "," + field.Tag.Get("validate") + ","
	for _, required := range []string{",required,", ",name,", ",endpoint,", ",gt=0,", ",min=1,"} {
		if strings.Contains(check, required) && v.IsZero() {
			return ""
		}
	}
	switch value := v.Interface().(type) {
	case netip.AddrPort, []netip.AddrPort:
		return ""
	case string:
		if value == "" {
			return ""
		}
	}
	return fmt.Sprint(v.Interface()) + " "
}
