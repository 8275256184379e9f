package setting

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var structValidator = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(keyOf)
	// Validate addresses as texts, because the validator would otherwise validate
	// the fields of the struct.
	v.RegisterCustomTypeFunc(addressText, netip.AddrPort{})
	mustRegister(v, "endpoint", isEndpoint)
	mustRegister(v, "name", isName)
	return v
}

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

func addressText(v reflect.Value) any {
	address, ok := v.Interface().(netip.AddrPort)
	if !ok || !address.IsValid() {
		return ""
	}
	return address.String()
}

// isEndpoint returns whether the field is an http or https URL with an IP address
// and a port.
func isEndpoint(f validator.FieldLevel) bool {
	u, err := url.Parse(f.Field().String())
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

// isName returns whether the field consists of characters that are valid in keys,
// labels and host names.
func isName(f validator.FieldLevel) bool {
	name := f.Field().String()
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

const maxNameBytes = 64

// describe returns a one-line description of a failed validation.
func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "missing"
	case "name":
		return fmt.Sprintf("%q is not a name: use 1 to %d letters, digits, '-', '_' and '.'", f.Value(), maxNameBytes)
	case "endpoint":
		return fmt.Sprintf("%q is not an http URL with an IP address and port, such as http://10.0.0.7:8080", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "gt":
		return fmt.Sprintf("%v must be above %s", f.Value(), f.Param())
	case "gte", "min":
		return fmt.Sprintf("%v must be at least %s", f.Value(), f.Param())
	case "lte", "max":
		return fmt.Sprintf("%v must be at most %s", f.Value(), f.Param())
	case "sha256":
		return fmt.Sprintf("%q is not a SHA-256 hash of 64 hexadecimal digits", f.Value())
	case "required_with":
		return fmt.Sprintf("missing, but needed together with %s", strings.ToLower(f.Param()))
	default:
		if d, ok := f.Value().(time.Duration); ok {
			return fmt.Sprintf("%s fails the check %s=%s", d, f.Tag(), f.Param())
		}
		return fmt.Sprintf("%v fails the check %s=%s", f.Value(), f.Tag(), f.Param())
	}
}
