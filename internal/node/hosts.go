package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/external"
)

// hostCache caches the host list and records which entry hosts were ever listed.
type hostCache struct {
	source external.HostList
	log    *logrus.Entry
	hosts  atomic.Pointer[[]external.Host]

	mu sync.Mutex
	// entryListed holds the IP addresses of all entry hosts that were ever listed. The value
	// is true if the latest list contains the host.
	entryListed map[string]bool
	loaded      bool
}

func newHostCache(source external.HostList, log *logrus.Entry) *hostCache {
	return &hostCache{source: source, log: log, entryListed: map[string]bool{}}
}

// Hosts returns the latest list. The slice is never modified.
func (h *hostCache) Hosts() []external.Host {
	if p := h.hosts.Load(); p != nil {
		return *p
	}
	return nil
}

// Removed reports whether the entry host at addr was listed before and no longer is. It is
// false for a host that was never listed.
func (h *hostCache) Removed(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed, known := h.entryListed[ipOf(addr)]
	return known && !listed
}

// Run reads the list at the given interval until ctx ends. After an error the last list stays
// in use: the list is always somewhat out of date, and failed connections reveal removed hosts.
func (h *hostCache) Run(ctx context.Context, every time.Duration) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if err := h.refresh(ctx); err != nil && ctx.Err() == nil {
			h.log.WithError(err).Warn("failed to read the host list; using the last one")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refreshTimeout limits one read of the host list.
const refreshTimeout = 2 * time.Second

func (h *hostCache) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	hosts, err := h.source.Hosts(ctx)
	if err != nil {
		return err
	}
	h.hosts.Store(&hosts)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loaded = true
	for ip := range h.entryListed {
		h.entryListed[ip] = false
	}
	for _, host := range hosts {
		if host.Role == external.RoleEntry {
			h.entryListed[ipOf(host.Addr)] = true
		}
	}
	return nil
}

func ipOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
