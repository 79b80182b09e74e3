package node

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/platform"
)

// fakeHosts is a host list in memory.
type fakeHosts struct {
	hosts []platform.Host
	err   error
}

// Hosts implements platform.HostList.
func (f *fakeHosts) Hosts(context.Context) ([]platform.Host, error) { return f.hosts, f.err }
