package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Objects is an in-memory object store. It serves HTTP, and it implements external.Objects
// directly without faults.
type Objects struct {
	faults *Faults
	mux    *http.ServeMux

	mu   sync.Mutex
	data map[string][]byte
}

var _ external.Objects = (*Objects)(nil)

// NewObjects returns an empty object store. A nil f means no faults.
func NewObjects(f *Faults) *Objects {
	o := &Objects{faults: f, mux: http.NewServeMux(), data: map[string][]byte{}}
	o.mux.HandleFunc("GET "+httpapi.PathObjects, o.serveList)
	o.mux.HandleFunc("GET "+httpapi.PathObjects+"/{name...}", o.serveGet)
	o.mux.HandleFunc("PUT "+httpapi.PathObjects+"/{name...}", o.servePut)
	o.mux.HandleFunc("POST "+httpapi.PathObjectDelete, o.serveDelete)
	return o
}

// ServeHTTP serves the object protocol.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// Put creates or replaces an object.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = slices.Clone(data)
	return nil
}

// Get reads an object.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, model.Errorf(model.KindNotFound, "check the name", "object %q", name)
	}
	return slices.Clone(data), nil
}

// List returns the names that start with prefix, in order.
func (o *Objects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, name := range slices.Sorted(maps.Keys(o.data)) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names, nil
}

// Delete removes an object; deleting an absent object succeeds.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, name)
	return nil
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	fault, ok := applyRequestFaults(w, o.faults, ServiceObjects)
	if !ok {
		return
	}
	err := o.Put(r.Context(), r.PathValue("name"), data)
	finishWrite(w, o.faults, fault, err)
}

func (o *Objects) serveDelete(w http.ResponseWriter, r *http.Request) {
	var req httpapi.ObjectDelete
	if !readJSON(w, r, &req) {
		return
	}
	fault, ok := applyRequestFaults(w, o.faults, ServiceObjects)
	if !ok {
		return
	}
	err := o.Delete(r.Context(), req.Name)
	finishWrite(w, o.faults, fault, err)
}

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	fault, ok := applyRequestFaults(w, o.faults, ServiceObjects)
	if !ok {
		return
	}
	data, err := o.Get(r.Context(), r.PathValue("name"))
	delayHalf(fault.Slow)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (o *Objects) serveList(w http.ResponseWriter, r *http.Request) {
	fault, ok := applyRequestFaults(w, o.faults, ServiceObjects)
	if !ok {
		return
	}
	names, err := o.List(r.Context(), r.URL.Query().Get("prefix"))
	finishRead(w, fault, httpapi.ObjectNames{Names: names}, err)
}

// listVersion is a version of the host list, current from at on.
type listVersion struct {
	at    time.Time
	hosts []external.Host
}

// HostList is the platform's host list. With a Lag fault it returns the list as it was
// that long ago.
type HostList struct {
	faults *Faults

	mu       sync.Mutex
	versions []listVersion
}

var _ external.HostList = (*HostList)(nil)

// maxListVersions bounds the number of versions kept for a Lag fault.
const maxListVersions = 256

// NewHostList returns a list of hosts. A nil f means no faults.
func NewHostList(f *Faults, hosts ...external.Host) *HostList {
	return &HostList{faults: f, versions: []listVersion{{hosts: slices.Clone(hosts)}}}
}

// Set adds host, or replaces the entry with the same id.
func (l *HostList) Set(host external.Host) {
	l.change(func(hosts []external.Host) []external.Host {
		i := slices.IndexFunc(hosts, func(h external.Host) bool { return h.ID == host.ID })
		if i < 0 {
			return append(hosts, host)
		}
		hosts[i] = host
		return hosts
	})
}

// SetState changes the state of a host, if it is listed.
func (l *HostList) SetState(id string, state external.HostState) {
	l.change(func(hosts []external.Host) []external.Host {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].State = state
			}
		}
		return hosts
	})
}

// Remove deletes the entry with the given id.
func (l *HostList) Remove(id string) {
	l.change(func(hosts []external.Host) []external.Host {
		return slices.DeleteFunc(hosts, func(h external.Host) bool { return h.ID == id })
	})
}

func (l *HostList) change(edit func([]external.Host) []external.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.versions[len(l.versions)-1].hosts
	l.versions = append(l.versions, listVersion{at: time.Now(), hosts: edit(slices.Clone(current))})
	if len(l.versions) > maxListVersions {
		l.versions = slices.Delete(l.versions, 0, len(l.versions)-maxListVersions)
	}
}

// Hosts returns the list, delayed by the Lag fault.
func (l *HostList) Hosts(context.Context) ([]external.Host, error) {
	cutoff := time.Now().Add(-l.faults.Service(ServiceHosts).Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range slices.Backward(l.versions) {
		if !v.at.After(cutoff) {
			return slices.Clone(v.hosts), nil
		}
	}
	return slices.Clone(l.versions[0].hosts), nil
}

// ServeHTTP serves the host list protocol.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != httpapi.PathHosts {
		http.NotFound(w, r)
		return
	}
	fault, ok := applyRequestFaults(w, l.faults, ServiceHosts)
	if !ok {
		return
	}
	hosts, err := l.Hosts(r.Context())
	finishRead(w, fault, httpapi.HostsResponse{Hosts: hosts}, err)
}
