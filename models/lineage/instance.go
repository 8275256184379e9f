package lineage

import "strings"

// InstanceOf returns the instance that wrote the record with the key, or "" if the key isn't one of a slot.
func InstanceOf(key string) string {
	// The names of instances may contain slashes.
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return ""
	}
	return key[:i]
}
