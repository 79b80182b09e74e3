package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepOrder is an order for the upkeep of a machine, as the platform saw it.
type upkeepOrder struct {
	at      time.Time
	machine string
	holder  string
	fence   uint64
	status  int
	inTouch bool // the holder was in touch
}

// machineState is a machine of the platform.
type machineState struct {
	runner, zone string
	// leaving is set while the machine's runner leaves: upkeep is refused as busy.
	leaving   bool
	downUntil time.Time
	done      bool
}

// inventory is the platform's list of machines.
type inventory struct {
	site     *site
	mu       sync.Mutex
	machines map[string]*machineState
	orders   []upkeepOrder
	addr     string
	server   *http.Server
}

// maintenance is maintenance_s of the site file.
const maintenance = 2 * time.Second

func newInventory(s *site) (*inventory, error) {
	v := &inventory{site: s, machines: map[string]*machineState{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", v.list)
	mux.HandleFunc("POST /machine-upkeep", v.upkeep)
	ln, err := net.Listen("tcp", ip(4, 0)+":0")
	if err != nil {
		return nil, err
	}
	v.addr = ln.Addr().String()
	v.server = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = v.server.Serve(ln) }()
	return v, nil
}

func (v *inventory) list(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	machines := []map[string]any{}
	for name, m := range v.machines {
		state := "up"
		if time.Now().Before(m.downUntil) {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{"machine": name, "pool": "desk", "state": state, "zone": m.zone, "id": m.runner,
			"labels": []string{"a", "r0"}, "capacity": map[string]int64{"cpu": 16000, "mem_mb": 62500, "gpu": 0}})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (v *inventory) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct{ Machine string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Vanillapier-Fencing-Token"), 10, 64)
	o := upkeepOrder{at: time.Now(), machine: body.Machine, holder: r.Header.Get("Vanillapier-Duty-Holder"), fence: fence, status: http.StatusOK}
	o.inTouch = v.site.inTouch(o.holder, o.at)
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.machines[body.Machine]
	switch {
	case m == nil:
		o.status = http.StatusBadRequest
	case !m.done && m.leaving:
		o.status = http.StatusConflict
	case !m.done:
		m.done, m.downUntil = true, time.Now().Add(maintenance)
	}
	v.orders = append(v.orders, o)
	v.site.recordAt(o.at, "platform: upkeep of %s ordered by %s with token %d, in touch %v: %d", o.machine, o.holder, o.fence, o.inTouch, o.status)
	answer := map[string]any{}
	if o.status == http.StatusConflict {
		answer["reason"] = "busy"
	}
	reply(w, o.status, answer)
}

// add adds a machine.
func (v *inventory) add(machine, runner, zone string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.machines[machine] = &machineState{runner: runner, zone: zone}
}

// leave marks a machine whose runner leaves.
func (v *inventory) leave(machine string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.machines[machine].leaving = true
}

// remove removes a machine whose runner has left.
func (v *inventory) remove(machine string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.machines, machine)
}

// lastOrder returns the last order for a machine.
func (v *inventory) lastOrder(machine string) (last upkeepOrder, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.orders {
		if o.machine == machine {
			last, ok = o, true
		}
	}
	return last, ok
}

// contact is contact_ms of the site file.
const contact = 3 * time.Second

// inTouch reports whether a node is in touch at a time, as far as this case disturbs nodes: its process
// was neither started nor told to end by SIGTERM for contact_ms. The store is sound in this case.
func (s *site) inTouch(name string, at time.Time) bool {
	for _, n := range s.nodes {
		if n.name == name {
			n.mu.Lock()
			defer n.mu.Unlock()
			return at.Sub(n.touchedAt) >= contact
		}
	}
	return false
}

// leaseTime is lease_ms of the site file.
const leaseTime = 3 * time.Second

// checkOne checks the rule ONE and records what breaks it.
func (v *inventory) checkOne() (broken bool) {
	v.mu.Lock()
	orders := append([]upkeepOrder(nil), v.orders...)
	v.mu.Unlock()
	last := map[string]upkeepOrder{}        // by machine
	lastInTouch := map[string]upkeepOrder{} // the same of holders in touch
	tokens := map[uint64]string{}           // their holders
	for _, o := range orders {
		before := last[o.machine]
		last[o.machine] = o
		if holder, seen := tokens[o.fence]; seen && holder != o.holder {
			v.site.record("ONE: %s: holders %s and %s with one token %d", o.machine, holder, o.holder, o.fence)
			broken = true
		}
		tokens[o.fence] = o.holder
		if o.fence < before.fence {
			v.site.record("ONE: %s: token %d of %s after token %d of %s", o.machine, o.fence, o.holder, before.fence, before.holder)
			broken = true
		}
		if !o.inTouch {
			continue
		}
		before, seen := lastInTouch[o.machine]
		lastInTouch[o.machine] = o
		if seen && before.holder != o.holder && o.at.Sub(before.at) < leaseTime {
			v.site.record("ONE: %s: holders %s and %s, both in touch, take turns within %v", o.machine, before.holder, o.holder, o.at.Sub(before.at).Round(time.Millisecond))
			broken = true
		}
	}
	return broken
}
