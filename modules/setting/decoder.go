package setting

import (
	"encoding"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decoder decodes a YAML tree. The library decodes only the scalars. The decoder
// traverses the tree itself, so that every error has a key and a line, including the
// errors of a type's UnmarshalText method.
type decoder struct {
	doc *Document
}

func (d *decoder) value(node ast.Node, dst reflect.Value, path string) error {
	if path != "" {
		d.doc.lines[path] = node.GetToken().Position.Line
	}
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	if isScalar(dst) {
		return d.scalar(node, dst, path)
	}
	switch dst.Kind() {
	case reflect.Struct, reflect.Map:
		return d.mapping(node, dst, path)
	case reflect.Slice:
		return d.sequence(node, dst, path)
	default:
		return d.scalar(node, dst, path)
	}
}

func (d *decoder) mapping(node ast.Node, dst reflect.Value, path string) error {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return d.doc.Errorf(path, "must be a mapping of keys with values")
	}
	for it := mapping.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		if dst.Kind() == reflect.Map {
			if err := d.mapValue(it, key, dst, path); err != nil {
				return err
			}
			continue
		}
		field, known := fieldOf(dst, key)
		at := join(path, key)
		d.doc.lines[at] = it.Key().GetToken().Position.Line
		if !known {
			return d.doc.Errorf(at, "unknown key; known keys: %s", strings.Join(keysOf(dst.Type()), ", "))
		}
		if err := d.value(it.Value(), field, at); err != nil {
			return err
		}
		d.doc.lines[at] = it.Key().GetToken().Position.Line
	}
	return nil
}

func (d *decoder) mapValue(it *ast.MapNodeIter, key string, dst reflect.Value, path string) error {
	if dst.IsNil() {
		dst.Set(reflect.MakeMap(dst.Type()))
	}
	at := path + "[" + key + "]"
	value := reflect.New(dst.Type().Elem()).Elem()
	if err := d.value(it.Value(), value, at); err != nil {
		return err
	}
	d.doc.lines[at] = it.Key().GetToken().Position.Line
	dst.SetMapIndex(reflect.ValueOf(key), value)
	return nil
}

func (d *decoder) sequence(node ast.Node, dst reflect.Value, path string) error {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		return d.doc.Errorf(path, "must be a list")
	}
	list := reflect.MakeSlice(dst.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		if err := d.value(item, list.Index(i), path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	dst.Set(list)
	return nil
}

func (d *decoder) scalar(node ast.Node, dst reflect.Value, path string) error {
	if _, ok := node.(ast.ScalarNode); !ok {
		return d.doc.Errorf(path, "must be %s", expectedFormat(dst))
	}
	text := node.GetToken().Value
	var err error
	switch target := dst.Addr().Interface().(type) {
	case *time.Duration:
		*target, err = time.ParseDuration(text)
	case *netip.AddrPort:
		*target, err = netip.ParseAddrPort(text)
	case encoding.TextUnmarshaler:
		if err := target.UnmarshalText([]byte(text)); err != nil {
			return d.doc.Errorf(path, "%v", err)
		}
	default:
		err = yaml.NodeToValue(node, dst.Addr().Interface(), yaml.Strict())
	}
	if err != nil {
		return d.doc.Errorf(path, "%q is not %s", text, expectedFormat(dst))
	}
	return nil
}

func isScalar(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func expectedFormat(v reflect.Value) string {
	switch v.Interface().(type) {
	case time.Duration:
		return "a time with its unit, such as 500ms, 5s or 10m"
	case netip.AddrPort:
		return "an IP address with a port, such as 10.0.0.7:8443"
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a single string"
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if keyOf(v.Type().Field(i)) == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// keyOf returns the YAML key of a struct field, or "" if the field has none.
func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if key == "-" {
		return ""
	}
	return key
}
