package setting

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Document is a decoded YAML file with the line number of each value.
type Document struct {
	File  string
	lines map[string]int
}

// DecodeFile decodes a YAML file into the struct that dst points to, like Decode.
func DecodeFile(file string, dst any) (*Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problem: errorText(err)}
	}
	return Decode(file, data, dst)
}

// Decode decodes YAML data into the struct that dst points to and validates the
// struct by its validate tags. It returns an *Error for an unknown key, a value of
// the wrong type and a failed validation. Fields without a value in the file are not
// changed.
func Decode(file string, data []byte, dst any) (*Document, error) {
	doc := &Document{File: file, lines: map[string]int{}}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, doc.syntaxError(err)
	}
	if len(parsed.Docs) > 1 {
		return nil, &Error{File: file, Problem: "contains more than one YAML document"}
	}
	if len(parsed.Docs) == 1 && parsed.Docs[0].Body != nil {
		d := &decoder{doc: doc}
		if err := d.value(parsed.Docs[0].Body, reflect.ValueOf(dst).Elem(), ""); err != nil {
			return nil, err
		}
	}
	return doc, doc.validate(dst)
}

// Errorf returns an *Error for the value with the key.
func (d *Document) Errorf(key, format string, args ...any) *Error {
	return &Error{File: d.File, Line: d.line(key), Key: key, Problem: fmt.Sprintf(format, args...)}
}

// line returns the line of the value or, if it is not in the file, of the nearest
// enclosing value.
func (d *Document) line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

func (d *Document) syntaxError(err error) *Error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return &Error{File: d.File, Problem: err.Error()}
	}
	return &Error{
		File:    d.File,
		Line:    located.GetToken().Position.Line,
		Problem: located.GetMessage(),
	}
}

func (d *Document) validate(dst any) error {
	err := structValidator.Struct(dst)
	var failed validator.ValidationErrors
	if errors.As(err, &failed) {
		// A namespace starts with the name of the outermost type.
		_, key, _ := strings.Cut(failed[0].Namespace(), ".")
		return d.Errorf(key, "%s", describe(failed[0]))
	}
	return errors.WithMessage(err, d.File)
}

// errorText returns the error of a file operation without the path.
func errorText(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
