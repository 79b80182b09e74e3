package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Paths of the protocol, relative to the base URL of each service.
const (
	// PathCommit accepts a CommitRequest by POST.
	PathCommit = "/v1/table/commit"
	// PathRow returns an external.Row for the parameters partition and row.
	PathRow = "/v1/table/row"
	// PathRange returns a RangeResponse for partition, from and limit.
	PathRange = "/v1/table/range"
	// PathObjects is the path prefix of objects, and returns ObjectNames for the parameter
	// prefix.
	PathObjects = "/v1/objects"
	// PathObjectDelete accepts an ObjectDelete by POST.
	PathObjectDelete = "/v1/object-delete"
	// PathHosts returns a HostsResponse.
	PathHosts = "/v1/hosts"
	// PathCommand accepts an external.WorkerCommand by POST.
	PathCommand = "/v1/worker/command"
)

const (
	contentJSON   = "application/json"
	contentBinary = "application/octet-stream"
)

// CommitRequest is the body of a table transaction.
type CommitRequest struct {
	Writes []external.Write `json:"writes"`
}

// RangeResponse is the response to a range read.
type RangeResponse struct {
	Rows []external.Row `json:"rows"`
}

// ObjectDelete is the body of a request to delete an object.
type ObjectDelete struct {
	Name string `json:"name"`
}

// ObjectNames is the response to a listing of objects.
type ObjectNames struct {
	Names []string `json:"names"`
}

// HostsResponse is the response of the host list.
type HostsResponse struct {
	Hosts []external.Host `json:"hosts"`
}

// Table is a client of the table service.
type Table struct{ e endpoint }

var _ external.Table = (*Table)(nil)

// NewTable returns a client of the table service at baseURL. A nil client selects the
// default HTTP client. Deadlines come from the contexts.
func NewTable(baseURL string, client *http.Client) *Table {
	return &Table{e: newEndpoint("table service", baseURL, client)}
}

// Commit applies all writes or none. KindConflict means that a condition failed.
func (t *Table) Commit(ctx context.Context, writes ...external.Write) error {
	_, err := t.e.writeJSON(ctx, PathCommit, CommitRequest{Writes: writes}, maxErrorBody)
	return err
}

// Get reads one row; KindNotFound means that it does not exist.
func (t *Table) Get(ctx context.Context, key external.Key) (external.Row, error) {
	var row external.Row
	q := url.Values{"partition": {key.Partition}, "row": {key.Row}}
	data, err := t.e.read(ctx, PathRow+"?"+q.Encode(), MaxTableResponse)
	if err != nil {
		return row, err
	}
	return row, t.e.decode(data, &row, model.KindUnavailable)
}

// Range reads up to limit rows of a partition with Row >= from, in order.
func (t *Table) Range(ctx context.Context, partition, from string, limit int) ([]external.Row, error) {
	q := url.Values{"partition": {partition}, "from": {from}, "limit": {strconv.Itoa(limit)}}
	data, err := t.e.read(ctx, PathRange+"?"+q.Encode(), MaxTableResponse)
	if err != nil {
		return nil, err
	}
	var out RangeResponse
	if err := t.e.decode(data, &out, model.KindUnavailable); err != nil {
		return nil, err
	}
	return out.Rows, nil
}

// Objects is a client of the object store.
type Objects struct{ e endpoint }

var _ external.Objects = (*Objects)(nil)

// NewObjects returns a client of the object store at baseURL.
func NewObjects(baseURL string, client *http.Client) *Objects {
	return &Objects{e: newEndpoint("object store", baseURL, client)}
}

// objectPath returns the path of an object. It escapes each segment of name, so that
// slashes remain separators.
func objectPath(name string) (string, error) {
	if name == "" || strings.HasPrefix(name, "/") {
		return "", model.Errorf(model.KindInvalid, "use a name such as cell/1/20 without a leading slash", "object name %q", name)
	}
	parts := strings.Split(name, "/")
	for i, p := range parts {
		if p == "" || p == "." || p == ".." {
			return "", model.Errorf(model.KindInvalid, "leave out empty, . and .. segments", "object name %q", name)
		}
		parts[i] = url.PathEscape(p)
	}
	return PathObjects + "/" + strings.Join(parts, "/"), nil
}

// Put creates or replaces an object.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	path, err := objectPath(name)
	if err != nil {
		return err
	}
	if len(data) > MaxObjectSize {
		return model.Errorf(model.KindInvalid, "split the object", "object %q has %d bytes, limit %d", name, len(data), MaxObjectSize)
	}
	_, err = o.e.write(ctx, http.MethodPut, path, contentBinary, data, maxErrorBody)
	return err
}

// Get reads an object; KindNotFound means that it does not exist.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	path, err := objectPath(name)
	if err != nil {
		return nil, err
	}
	return o.e.read(ctx, path, MaxObjectSize)
}

// List returns the names that start with prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	q := url.Values{"prefix": {prefix}}
	data, err := o.e.read(ctx, PathObjects+"?"+q.Encode(), MaxTableResponse)
	if err != nil {
		return nil, err
	}
	var out ObjectNames
	if err := o.e.decode(data, &out, model.KindUnavailable); err != nil {
		return nil, err
	}
	return out.Names, nil
}

// Delete removes an object; deleting an absent object succeeds.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := o.e.writeJSON(ctx, PathObjectDelete, ObjectDelete{Name: name}, maxErrorBody)
	return err
}

// HostList is a client of the platform's host list.
type HostList struct{ e endpoint }

var _ external.HostList = (*HostList)(nil)

// NewHostList returns a client of the host list at baseURL.
func NewHostList(baseURL string, client *http.Client) *HostList {
	return &HostList{e: newEndpoint("host list", baseURL, client)}
}

// Hosts returns the platform's host list, which may be out of date.
func (h *HostList) Hosts(ctx context.Context) ([]external.Host, error) {
	data, err := h.e.read(ctx, PathHosts, MaxHostListResponse)
	if err != nil {
		return nil, err
	}
	var out HostsResponse
	if err := h.e.decode(data, &out, model.KindUnavailable); err != nil {
		return nil, err
	}
	return out.Hosts, nil
}

// Traffic counts the messages of a client and the bytes of their bodies. HTTP headers add
// about 250 bytes to each exchange.
type Traffic struct {
	Messages uint64
	Sent     uint64
	Received uint64
}

// Workers sends commands to workers at the addresses in the host list.
type Workers struct {
	e                        endpoint
	messages, sent, received atomic.Uint64
}

var _ external.WorkerAPI = (*Workers)(nil)

// NewWorkers returns a client for all workers.
func NewWorkers(client *http.Client) *Workers {
	return &Workers{e: newEndpoint("worker", "", client)}
}

// Traffic returns the counts so far.
func (w *Workers) Traffic() Traffic {
	return Traffic{Messages: w.messages.Load(), Sent: w.sent.Load(), Received: w.received.Load()}
}

// Command sends cmd once. KindFenced means that nothing was executed.
func (w *Workers) Command(ctx context.Context, host external.Host, cmd external.WorkerCommand) (external.WorkerReport, error) {
	e := w.e
	e.base, e.name = "http://"+host.Addr, "worker "+host.ID
	var report external.WorkerReport
	body, err := json.Marshal(cmd)
	if err != nil {
		return report, e.invalid(err)
	}
	w.messages.Add(1)
	w.sent.Add(uint64(len(body)))
	data, err := e.write(ctx, http.MethodPost, PathCommand, contentJSON, body, MaxReportSize)
	if err != nil {
		return report, err
	}
	w.received.Add(uint64(len(data)))
	return report, e.decode(data, &report, model.KindUnknown)
}
