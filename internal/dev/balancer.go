package dev

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// balancer simulates the platform's load balancer: it checks the readiness of the nodes
// and distributes requests round-robin over the ready ones.
type balancer struct {
	cluster *cluster
	client  *http.Client
	next    atomic.Uint64

	mu    sync.Mutex
	ready []string
}

// checkEvery is the interval of readiness checks. A load balancer takes about that long
// to detect that a node stops.
const checkEvery = 200 * time.Millisecond

func newBalancer(c *cluster) *balancer {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
	}
	return &balancer{cluster: c, client: &http.Client{Transport: transport}}
}

// run checks readiness until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		b.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) check(ctx context.Context) {
	var ready []string
	for _, n := range b.cluster.running() {
		callers, _, _ := n.Addrs()
		if b.isReady(ctx, callers) {
			ready = append(ready, callers)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // the body is not read
	return resp.StatusCode == http.StatusOK
}

// pick returns the address of a ready node, or false when there is none.
func (b *balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], true
}

// readyCount returns the number of ready nodes.
func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}
