package site

import (
	"fmt"
	"strings"
)

// InvalidEntry is an entry of the list of servers that names no server to use.
type InvalidEntry struct {
	Name string
	// Key is the key of the record, and Value its content.
	Key   string
	Value []byte
}

// nestingDepth is deeper than a decoder that calls itself for each level can go.
const nestingDepth = 100_000

// InvalidEntries are entries that another writer may leave among those of the servers of a pool. The
// address is one at which a server listens.
func InvalidEntries(pool, address string) []InvalidEntry {
	entry := func(changes ...string) []byte {
		text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","max_concurrency":4,"state":"ready","warmup_left_ms":0,"sequence":4,"born":17}`, pool, address)
		return []byte(strings.NewReplacer(changes...).Replace(text))
	}
	invalid := func(name string, changes ...string) InvalidEntry {
		return InvalidEntry{Name: name, Key: "invalid-" + strings.ReplaceAll(name, " ", "-"), Value: entry(changes...)}
	}
	raw := func(name, value string) InvalidEntry {
		return InvalidEntry{Name: name, Key: "invalid-" + strings.ReplaceAll(name, " ", "-"), Value: []byte(value)}
	}
	port := address[strings.LastIndex(address, ":"):]
	return []InvalidEntry{
		raw("nested lists", strings.Repeat("[", nestingDepth)),
		raw("nested objects", strings.Repeat(`{"service":`, nestingDepth/10)),
		invalid("nested field", `"z"`, strings.Repeat("[", nestingDepth/2)+strings.Repeat("]", nestingDepth/2)),
		raw("no text", "\xff\xfe\x00"),
		raw("null", "null"),
		raw("list", "[]"),
		raw("empty object", "{}"),
		raw("cut off", `{"service":"s1","address":"10.`),
		invalid("port too large", port, ":99999"),
		invalid("port far too large", port, ":123456789012345678901234567890"),
		invalid("negative port", port, ":-1"),
		invalid("port 0", port, ":0"),
		invalid("no port", port, ""),
		invalid("unspecified address", address, "0.0.0.0"+port),
		invalid("multicast address", address, "224.0.0.1"+port),
		invalid("host name", address, "localhost"+port),
		invalid("slots too large", `:4,"state"`, `:1e400,"state"`),
		invalid("slots beyond 64 bits", `:4,"state"`, `:18446744073709551616,"state"`),
		invalid("slots beyond all servers", `:4,"state"`, `:9223372036854775807,"state"`),
		invalid("negative slots", `:4,"state"`, `:-4,"state"`),
		invalid("no slots", `:4,"state"`, `:0,"state"`),
		invalid("warm-up too large", `"warmup_left_ms":0`, `"warmup_left_ms":1e300`),
		invalid("sequence too large", `"sequence":4`, `"sequence":1e30`),
		invalid("negative sequence", `"sequence":4`, `"sequence":-4`),
		invalid("start too large", `"born":17`, `"born":1e30`),
		invalid("negative start", `"born":17`, `"born":-17`),
		invalid("start of another type", `"born":17`, `"born":"17"`),
		invalid("state of another type", `"ready"`, `1`),
		invalid("unknown state", `"ready"`, `"resting"`),
		invalid("unknown pool", `"service":`+fmt.Sprintf("%q", pool), `"service":"none"`),
		invalid("pool missing", `"service":`+fmt.Sprintf("%q", pool)+`,`, ``),
		{Name: "key with control bytes", Key: "invalid\r\nTenant: x", Value: entry()},
		{Name: "key that is no text", Key: "invalid\xff", Value: entry()},
		{Name: "empty key", Key: "", Value: entry()},
	}
}
