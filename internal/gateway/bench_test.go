package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkSurvivorHash measures the work that the quarantine adds to each served request with a body of 64 KiB, while no
// crash is known.
func BenchmarkSurvivorHash(b *testing.B) {
	request, err := http.NewRequest(http.MethodPost, "http://h.example/post/x", nil)
	if err != nil {
		b.Fatal(err)
	}
	c := &call{gateway: &Gateway{survivors: newSurvivorTable()}, r: request, body: make([]byte, 64<<10)}
	for b.Loop() {
		c.survivorHash()
	}
}

// BenchmarkFingerprint measures the work that it adds while a crash is known.
func BenchmarkFingerprint(b *testing.B) {
	request, err := http.NewRequest(http.MethodPost, "http://h.example/post/x", nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		c := &call{r: request, body: make([]byte, 64<<10)}
		c.fingerprint()
	}
}

// BenchmarkPartTraits measures the work that prompt parts add to each served request, while no crash is known.
func BenchmarkPartTraits(b *testing.B) {
	for _, parts := range []int{4, 32} {
		b.Run(strconv.Itoa(parts), func(b *testing.B) {
			request, err := http.NewRequest(http.MethodPost, "http://h.example/post/x", nil)
			if err != nil {
				b.Fatal(err)
			}
			request.Header.Set("X-Parts", strings.Repeat("5c1e07a2 ", parts))
			g := &Gateway{headers: testHeaders, survivingTraits: newSurvivorTable()}
			for b.Loop() {
				c := &call{gateway: g, r: request}
				for _, trait := range c.partTraits() {
					g.survivingTraits.add(traitHash(trait), time.Now())
				}
			}
		})
	}
}
