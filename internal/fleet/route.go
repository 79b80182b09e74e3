package fleet

import (
	"net"
	"sort"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// routeTable holds queues by host, those with the longest path prefix first.
type routeTable map[string][]Queue

func newRouteTable(queues []Queue) routeTable {
	t := routeTable{}
	for _, q := range queues {
		t[q.Host] = append(t[q.Host], q)
	}
	for _, list := range t {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// find returns the queue of a request and the rest of its path.
func (t routeTable) find(host, path string) (Queue, string, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, q := range t[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Route implements Intake.
func (n *Node) Route(host, path string) (Queue, string, error) {
	v := n.routing.Load()
	if v == nil {
		return Queue{}, "", retryAfter(retryShort, model.KindUnavailable, "retry later", "no configuration yet")
	}
	q, rest, ok := v.routes.find(host, path)
	if !ok {
		return Queue{}, "", model.Errorf(model.KindNotFound, "check host and path against the configuration", "no queue at this host and path in version %d", v.configuration.Version)
	}
	return q, rest, nil
}

// MaxBody implements Intake.
func (n *Node) MaxBody() int64 {
	if v := n.routing.Load(); v != nil {
		return v.configuration.MaxBody
	}
	return 0
}
