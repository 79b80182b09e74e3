package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times of the store, as in the site file: 4 ms an answer, 8 ms a transaction.
const (
	storeAnswer = 4 * time.Millisecond
	storeTx     = 8 * time.Millisecond
	// storeLate is how much later a transaction is done whose answer is lost.
	storeLate = 5 * time.Second
	// maxRows is the page's limit of rows in one answer.
	maxRows = 500
)

type rowID struct{ Table, Part, Key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	started time.Time
	ver     uint64
	rows    map[rowID]storeRow
	history []storeRow
	changed chan struct{}
	beats   map[string]time.Time
	// busyUntil is until when the store answers 503 to all calls of the system.
	busyUntil time.Time
	// losing holds the addresses at which answers to transactions are lost; these are done late.
	losing map[string]bool
	// onLate is told of transactions that are done late.
	onLate func(status int)
	server *http.Server
	addr   string
}

func newStore(ip string) (*store, error) {
	s := &store{started: time.Now(), rows: map[rowID]storeRow{}, changed: make(chan struct{}), beats: map[string]time.Time{}, losing: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.up(s.tx))
	mux.HandleFunc("GET /rows-get", s.up(s.get))
	mux.HandleFunc("GET /rows-feed", s.up(s.feed))
	mux.HandleFunc("POST /beat/{id}", s.beat) // runners only
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	go s.expire()
	return s, nil
}

// up wraps a call of the system: while the store is down it is answered 503 and nothing is done.
func (s *store) up(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswer)
		if s.down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.busyUntil)
}

// setDown takes the store down for a time.
func (s *store) setDown(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyUntil = time.Now().Add(d)
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() + 1 }

// apply stores the rows as one transaction. The lock is held.
func (s *store) apply(rows []storeRow) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		if r.Removed {
			r.Value = nil
			if _, there := s.rows[r.id()]; !there {
				continue
			}
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: data}})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ Expect, Writes, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeTx)
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	lose := local != nil && s.losing[local.String()]
	s.mu.Unlock()
	if lose {
		// The transaction is done late, if its condition still holds, and never answered.
		time.AfterFunc(storeLate, func() {
			status, _ := s.transact(body.Expect, body.Writes, body.Remove)
			s.onLate(status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.transact(body.Expect, body.Writes, body.Remove)
	reply(w, status, answer)
}

// transact does a transaction and returns the answer.
func (s *store) transact(expect, writes, remove []storeRow) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for _, list := range [][]storeRow{expect, writes, remove} {
		for _, x := range list {
			parts[x.Part] = true
			if len(x.Table) > 200 || len(x.Part) > 200 || len(x.Key) > 200 {
				return http.StatusBadRequest, nil
			}
			if x.Table == "servers" || x.Table == "op" {
				return http.StatusForbidden, nil
			}
		}
	}
	if len(parts) > 1 || len(expect)+len(writes)+len(remove) > 100 {
		return http.StatusBadRequest, nil
	}
	holds, current := true, []storeRow{}
	for _, e := range expect {
		have, there := s.rows[e.id()]
		if there {
			current = append(current, have)
		}
		holds = holds && have.Ver == e.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.nowMS()}
	}
	rows := append([]storeRow(nil), writes...)
	for _, d := range remove {
		d.Removed = true
		rows = append(rows, d)
	}
	s.apply(rows)
	return http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.nowMS()}
}

// listen serves the store at another address too and returns it.
func (s *store) listen(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(ln) }()
	return ln.Addr().String(), nil
}

// lose sets whether answers to transactions at an address are lost.
func (s *store) lose(addr string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing[addr] = on
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for id, row := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("target") == "" || id.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		ver := s.ver
		for _, h := range s.history[first:] {
			if h.Table != q.Get("table") {
				continue
			}
			if len(rows) >= maxRows && rows[len(rows)-1].Ver != h.Ver {
				ver = rows[len(rows)-1].Ver
				break
			}
			rows = append(rows, h)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
			if s.down() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// beat takes a runner's entry. Runners reach the store also while it turns the system away.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[r.PathValue("id")] = time.Now()
	s.apply([]storeRow{{Table: "servers", Key: r.PathValue("id"), Value: entry}})
}

// expire removes the entries of runners after three heartbeat intervals of silence.
func (s *store) expire() {
	for range time.Tick(heartbeat / 5) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				s.apply([]storeRow{{Table: "servers", Key: id, Removed: true}})
			}
		}
		s.mu.Unlock()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only if the caller has gone
}
