package memory_test

import (
	"context"
	"fmt"

	"github.com/crocusline/crocusline/services/memory"
)

// A response reserves what it holds beyond what each may, wherever its context is.
func ExampleResponse() {
	m := memory.New(1 << 20)
	response := m.NewResponse()
	ctx := memory.WithResponse(context.Background(), response)

	fmt.Println(memory.ResponseOf(ctx).Grow(64<<10), m.Held()>>10)
	fmt.Println(memory.ResponseOf(ctx).Grow(1<<20), m.Held()>>10)
	response.Release()
	fmt.Println(m.Held())
	fmt.Println(memory.ResponseOf(context.Background()).Grow(1 << 30))
	// Output:
	// true 48
	// false 48
	// 0
	// true
}
