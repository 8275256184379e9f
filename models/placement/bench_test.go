package placement_test

import (
	"fmt"
	"testing"

	"github.com/crocusline/crocusline/models/placement"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 46, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := placement.New()
			p.SetServers(servers(n))
			r := placement.Request{Prompt: "report"}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Choose(epoch, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
