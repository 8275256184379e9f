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

// Document is a decoded YAML file that remembers the line of each value.
type Document struct {
	File  string
	lines map[string]int
}

// DecodeFile reads a YAML file into the struct that into points to, as Decode
// does.
func DecodeFile(file string, into any) (*Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Problem: reason(err)}
	}
	return Decode(file, data, into)
}

// Decode reads YAML into the struct that into points to and checks its
// validate tags. An unknown key, a value of the wrong type and a failed check
// give an *Error. Values that the file leaves out stay as they are.
func Decode(file string, data []byte, into any) (*Document, error) {
	doc := &Document{File: file, lines: map[string]int{}}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, doc.syntaxError(err)
	}
	if len(parsed.Docs) > 1 {
		return nil, &Error{File: file, Problem: "holds more than one YAML document"}
	}
	if len(parsed.Docs) == 1 && parsed.Docs[0].Body != nil {
		d := &decoder{doc: doc}
		if err := d.value(parsed.Docs[0].Body, reflect.ValueOf(into).Elem(), ""); err != nil {
			return nil, err
		}
	}
	return doc, doc.validate(into)
}

// Errorf returns an *Error for the value at the path.
func (d *Document) Errorf(key, format string, args ...any) *Error {
	return &Error{File: d.File, Line: d.line(key), Key: key, Problem: fmt.Sprintf(format, args...)}
}

// line returns the line of the value or, when the file leaves it out, of the
// nearest value around it.
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

func (d *Document) validate(into any) error {
	err := checks.Struct(into)
	var failed validator.ValidationErrors
	if errors.As(err, &failed) {
		// Namespaces start with the name of the outermost type.
		_, key, _ := strings.Cut(failed[0].Namespace(), ".")
		return d.Errorf(key, "%s", explain(failed[0]))
	}
	return errors.WithMessage(err, d.File)
}

func reason(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
