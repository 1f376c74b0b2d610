package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's store in a small deployment (DEPLOY.md).
const (
	rowBytes      = 65536
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxPageRows   = 500
	txnTime       = 4 * time.Millisecond
	retention     = 20 * time.Second
)

// row is a row of the store, in memory and in messages.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// rowsResponse is the body of all responses.
type rowsResponse struct {
	Rows []row  `json:"rows"`
	More bool   `json:"has_more"`
	Ver  uint64 `json:"ver"`
	Now  int64  `json:"now_ms"`
}

// transaction is the body of a write.
type transaction struct {
	Conditions []row `json:"expected_rev"`
	Set        []row `json:"set_keys"`
	Remove     []row `json:"remove"`
	Cross      bool  `json:"cross_partition"`
}

// Store is the platform's store as PROTOCOL.md describes it.
type Store struct {
	start   time.Time
	record  *Record
	mu      sync.Mutex
	rows    map[string]row
	ver     uint64
	history []row
	dropped uint64
	changed chan struct{}
	// rejected counts the transactions that were refused for their size.
	rejected int
}

func newStore(record *Record) *Store {
	return &Store{start: time.Now(), record: record, rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row for the operator or an executor.
func (s *Store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.notify()
}

// remove deletes a row for the platform.
func (s *Store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.notify()
}

func (s *Store) write(r row) {
	r.at = time.Now()
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > retention {
		s.dropped = s.history[0].Ver
		s.history = s.history[1:]
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) response(rows []row) rowsResponse {
	if rows == nil {
		rows = []row{}
	}
	return rowsResponse{Rows: rows, Ver: s.ver, Now: time.Since(s.start).Milliseconds() + 1}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-tx":
		s.commit(w, r)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxTxnBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txnTime)
	if reason := txn.refusal(); reason != "" {
		s.mu.Lock()
		s.rejected++
		first := s.rejected <= 3
		s.mu.Unlock()
		if first {
			s.record.line("store refuses a write: %s", reason)
		}
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	status, body := s.apply(txn)
	reply(w, status, body)
}

// refusal returns why a transaction is outside the limits of the store; empty if it isn't.
func (t transaction) refusal() string {
	if n := len(t.Conditions) + len(t.Set) + len(t.Remove); n > maxTxnEntries {
		return strconv.Itoa(n) + " entries"
	}
	for _, one := range t.Set {
		if len(one.Value) > rowBytes {
			return "row " + one.Table + "/" + one.Part + "/" + one.Key + " has " + strconv.Itoa(len(one.Value)) + " bytes, row_bytes is " + strconv.Itoa(rowBytes)
		}
	}
	return ""
}

func (s *Store) apply(txn transaction) (int, rowsResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, condition := range txn.Conditions {
		stored := s.rows[condition.id()]
		met = met && stored.Ver == condition.Ver
		if stored.Ver > 0 {
			current = append(current, stored)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, s.response(current)
	}
	s.ver++
	for _, one := range txn.Set {
		one.Ver = s.ver
		s.write(one)
	}
	for _, one := range txn.Remove {
		s.write(row{Table: one.Table, Part: one.Part, Key: one.Key, Ver: s.ver, Deleted: true})
	}
	s.notify()
	return http.StatusOK, s.response(nil)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") && (q.Get("to") == "" || one.Key < q.Get("to")) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	size, count := 0, 0
	for count < len(found) && count < limit && (count == 0 || size+len(found[count].Value) <= maxTxnBytes) {
		size += len(found[count].Value)
		count++
	}
	body := s.response(found[:count])
	body.More = count < len(found)
	reply(w, http.StatusOK, body)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, one := range s.history {
			if one.Ver > after && one.Table == q.Get("table") {
				rows = append(rows, one)
			}
		}
		body, changed := s.response(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
