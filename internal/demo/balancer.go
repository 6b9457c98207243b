package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyspool/bramleyspool/internal/network"
)

const balancerInterval = 100 * time.Millisecond

// balancer stands in for the platform's balancer: it picks among the entries that were
// ready at the last poll.
type balancer struct {
	entries []*vm
	client  *http.Client

	mu     sync.Mutex
	ready  []string
	random *rand.Rand
}

func newBalancer(entries []*vm, seed uint64, sockets network.Network) *balancer {
	return &balancer{
		entries: entries,
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: sockets.DialTCP}},
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// run polls the entries' readiness until the context ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		b.pollEntries(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) pollEntries(ctx context.Context) {
	var ready []string
	for _, v := range b.entries {
		address := v.current().CallersAddress()
		if b.isReady(ctx, address) {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the callers' address of a random ready entry, or "" if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[b.random.IntN(len(b.ready))]
}

// readyCount returns the number of entries that were ready at the last poll.
func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}
