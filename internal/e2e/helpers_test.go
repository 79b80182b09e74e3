package e2e

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/request"
)

// operatorAuth is the authorization header of an operator.
var operatorAuth = map[string]string{"Authorization": "Bearer " + operatorToken}

// node returns the current process of the node at index, modulo the number of nodes.
func (c *cluster) node(index int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[index%len(c.nodes)]
}

// replaceNode sets the current process of the node at index.
func (c *cluster) replaceNode(index int, p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[index] = p
}

// nodeStatus queries a node for its status.
func (c *cluster) nodeStatus(p *process) (adminapi.NodeStatus, bool) {
	var s adminapi.NodeStatus
	code, _, _ := doHTTP(c.t.Context(), http.MethodGet, "http://"+p.adminAddr+adminapi.Prefix+"status", operatorAuth, nil, &s)
	return s, code == http.StatusOK
}

// owns reports whether a node's status lists the cell as owned.
func (c *cluster) owns(p *process, cell model.CellID) bool {
	s, _ := c.nodeStatus(p)
	for _, owned := range s.OwnedCells {
		if owned == cell {
			return true
		}
	}
	return false
}

// waitOwner waits until a node other than the one at index except owns the cell, and returns
// its index.
func (c *cluster) waitOwner(cell model.CellID, except int) int {
	c.t.Helper()
	found := -1
	c.wait("owner of "+string(cell), func() bool {
		for i := range c.nodes {
			if i != except && c.owns(c.node(i), cell) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// isolate cuts or restores the links between a node and all peers and the store.
func (c *cluster) isolate(cut bool, index int) {
	c.network.setCut(cut, c.node(index).name, append(c.others(index), "store")...)
}

// submitOrders submits several jobs concurrently.
func (c *cluster) submitOrders(prefix string, count, tasks int, runMS int64) []model.JobID {
	jobs := make([]model.JobID, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { jobs[i] = c.submitOrder(prefix+"-"+string(rune('a'+i)), tasks, runMS) })
	}
	wg.Wait()
	return jobs
}

// waitAllDone waits until all jobs are done.
func (c *cluster) waitAllDone(jobs []model.JobID) {
	c.t.Helper()
	for _, job := range jobs {
		c.waitDone(job)
	}
}

// orderStatus queries a node for the status of a job.
func (c *cluster) orderStatus(p *process, job model.JobID) (request.OrderStatus, int) {
	var s request.OrderStatus
	code, _, _ := doHTTP(c.t.Context(), http.MethodGet, "http://"+p.callerAddr+"/v1/orders/"+string(job), nil, nil, &s)
	return s, code
}

// tryOrder submits a job of one task once and returns the status and outcome.
func (c *cluster) tryOrder(p *process, key string) (int, string) {
	body, _ := json.Marshal(request.Order{Team: "print", Class: "plate", Tasks: []request.OrderTask{{Payload: standin.Payload{RunMS: 100}.Encode()}}})
	code, header, _ := doHTTP(c.t.Context(), http.MethodPost, "http://"+p.callerAddr+"/v1/orders", map[string]string{"Idempotency-Key": key}, body, nil)
	return code, header.Get("Vpier-Outcome")
}

// readView reads a node's control view. On an error it leaves into unchanged.
func (c *cluster) readView(p *process, into *adminapi.ViewReply) {
	_, _, _ = doHTTP(c.t.Context(), http.MethodGet, "http://"+p.adminAddr+adminapi.Prefix+"view", operatorAuth, nil, into)
}
