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

// hostCache holds the latest host list and remembers which entry hosts were ever
// listed.
type hostCache struct {
	source external.HostList
	log    *logrus.Entry
	hosts  atomic.Pointer[[]external.Host]

	mu sync.Mutex
	// entry holds the IP addresses of entry hosts ever listed; true while listed.
	entry map[string]bool
	read  bool
}

func newHostCache(source external.HostList, log *logrus.Entry) *hostCache {
	return &hostCache{source: source, log: log, entry: map[string]bool{}}
}

// Hosts returns the latest list; the slice is replaced, never changed in place.
func (h *hostCache) Hosts() []external.Host {
	if p := h.hosts.Load(); p != nil {
		return *p
	}
	return nil
}

// Read reports whether the list has been read at least once.
func (h *hostCache) Read() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.read
}

// Gone reports whether the platform once listed the entry host at addr and does
// not list it any more. A host that was never listed is not gone.
func (h *hostCache) Gone(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed, known := h.entry[ipOf(addr)]
	return known && !listed
}

// Run reads the list at the given interval until ctx ends. On errors the last
// list stays in use: the list lags anyway, and connections show what it misses.
func (h *hostCache) Run(ctx context.Context, every time.Duration) error {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if err := h.refresh(ctx); err != nil && ctx.Err() == nil {
			h.log.WithError(err).Warn("host list not read; the last one stays in use")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refreshTimeout bounds one read of the host list.
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
	h.read = true
	for ip := range h.entry {
		h.entry[ip] = false
	}
	for _, host := range hosts {
		if host.Role == external.RoleEntry {
			h.entry[ipOf(host.Addr)] = true
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
