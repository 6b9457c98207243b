package gateway

import (
	"net/http"
	"testing"
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
