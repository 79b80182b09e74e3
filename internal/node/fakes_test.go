package node

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/external"
)

// fakeHosts is an in-memory host list.
type fakeHosts struct {
	hosts []external.Host
	err   error
}

// Hosts implements external.HostList.
func (f *fakeHosts) Hosts(context.Context) ([]external.Host, error) { return f.hosts, f.err }
