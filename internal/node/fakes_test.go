package node

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/external"
)

// fakeHosts is a host list in memory.
type fakeHosts struct {
	hosts []external.Host
	err   error
}

// Hosts implements external.HostList.
func (f *fakeHosts) Hosts(context.Context) ([]external.Host, error) { return f.hosts, f.err }
