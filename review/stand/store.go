package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings in DEPLOY.md give them.
const (
	rowBytes       = 65536
	maxTxEntries   = 100
	maxTxBytes     = 1 << 20
	maxPageRows    = 500
	txDuration     = 4 * time.Millisecond
	maxFeedWaiting = 30 * time.Second
)

// row is a row as it stands in responses.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// txCondition is an entry of expected_rev.
type txCondition struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Ver   uint64 `json:"ver"`
}

// transaction is the body of a call of rows-tx.
type transaction struct {
	Expected       []txCondition `json:"expected_rev"`
	Set            []row         `json:"set_keys"`
	Remove         []row         `json:"remove"`
	CrossPartition bool          `json:"cross_partition"`
}

// fate is what the store does with a transaction.
type fate int

const (
	fateDone fate = iota
	// fateLate means that the transaction gets no answer and is performed later.
	fateLate
)

// store is the platform's table service. It keeps all of its history.
type store struct {
	log   *record
	start time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]row
	history []row
	changed chan struct{}
	// fateOf decides what happens to a transaction; nil for fateDone. lateBy is the delay of those
	// that are performed late.
	fateOf func(transaction) fate
	lateBy time.Duration
	// written and lost count the transactions, and those that got no answer, while fateOf is set.
	written, lost int
	// refusedLarge counts the transactions that were refused since a row was too large.
	refusedLarge int
}

func newStore(log *record) *store {
	return &store{log: log, start: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

func (s *store) nowMillis() int64 { return 1000 + time.Since(s.start).Milliseconds() }

// put writes a row for the operator or a worker, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(transaction{Set: []row{{Table: table, Key: key, Value: data}}})
}

// drop deletes a row for the platform.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
}

// apply performs a transaction. The caller holds the lock.
func (s *store) apply(t transaction) uint64 {
	s.ver++
	for _, r := range t.Set {
		r.Ver, r.Deleted = s.ver, false
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		id := rowID{r.Table, r.Part, r.Key}
		if _, ok := s.rows[id]; !ok {
			continue
		}
		delete(s.rows, id)
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// conflicts returns the current rows of the conditions if one of them doesn't hold. The caller
// holds the lock.
func (s *store) conflicts(t transaction) ([]row, bool) {
	current, conflict := []row{}, false
	for _, c := range t.Expected {
		r, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, r)
		}
		conflict = conflict || r.Ver != c.Ver
	}
	return current, conflict
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// hangUp ends a connection without an answer.
func hangUp(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTx)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	var t transaction
	if err != nil || json.Unmarshal(body, &t) != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "the body can't be read"})
		return
	}
	if len(t.Expected)+len(t.Set)+len(t.Remove) > maxTxEntries || len(body) > maxTxBytes {
		reply(w, http.StatusBadRequest, map[string]string{"error": "the transaction is too large"})
		return
	}
	for _, entry := range append(append([]row{}, t.Set...), t.Remove...) {
		if entry.Table == "op" || entry.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]string{"error": "the table is read-only"})
			return
		}
		if len(entry.Value) > rowBytes {
			s.mu.Lock()
			s.refusedLarge++
			first := s.refusedLarge == 1
			s.mu.Unlock()
			if first {
				s.log.add("store: refused a transaction: row %s/%s/%s has %d bytes, more than row_bytes", entry.Table, entry.Part, entry.Key, len(entry.Value))
			}
			reply(w, http.StatusBadRequest, map[string]string{"error": "a row has more than row_bytes"})
			return
		}
	}
	time.Sleep(txDuration)
	s.mu.Lock()
	if s.fateOf != nil && s.fateOf(t) == fateLate {
		s.mu.Unlock()
		go s.performLate(t)
		// The client hears nothing until it gives up.
		<-r.Context().Done()
		return
	}
	if rows, conflict := s.conflicts(t); conflict {
		ver := s.ver
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": ver, "now_ms": s.nowMillis()})
		return
	}
	ver := s.apply(t)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": s.nowMillis()})
}

// performLate performs a transaction later if its conditions still hold.
func (s *store) performLate(t transaction) {
	time.Sleep(s.lateBy)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, conflict := s.conflicts(t); conflict {
		s.log.add("store: a write without an answer isn't performed any more, since its condition doesn't hold")
		return
	}
	ver := s.apply(t)
	s.log.add("store: performed a write that got no answer, %s late, as version %d", s.lateBy, ver)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	found := []row{}
	for id, one := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			found = append(found, one)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	page, size := 0, 0
	for page < len(found) && page < limit && (page == 0 || size+len(found[page].Value) <= 1<<20) {
		size += len(found[page].Value)
		page++
	}
	reply(w, http.StatusOK, map[string]any{"rows": found[:page], "has_more": page < len(found), "ver": ver, "now_ms": s.nowMillis()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "after is missing"})
		return
	}
	waitMillis, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxFeedWaiting))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changes, ver := s.changesSince(q.Get("table"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": ver, "now_ms": s.nowMillis()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": ver, "now_ms": s.nowMillis()})
			return
		}
	}
}

// changesSince returns the changes of a table after a version, in order, and the version from
// which to continue. The caller holds the lock.
func (s *store) changesSince(table string, after uint64) ([]row, uint64) {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
	changes := []row{}
	for _, r := range s.history[first:] {
		if r.Table != table {
			continue
		}
		if len(changes) >= maxPageRows && changes[len(changes)-1].Ver != r.Ver {
			return changes, changes[len(changes)-1].Ver
		}
		changes = append(changes, r)
	}
	return changes, s.ver
}

// refused returns how many transactions were refused since a row was too large.
func (s *store) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedLarge
}

// loseWritesOf makes the store lose the answers to the transactions with rows of a job, and perform
// them later.
func (s *store) loseWritesOf(job string, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateBy = lateBy
	s.fateOf = func(t transaction) fate {
		s.written++
		for _, r := range t.Set {
			if strings.Contains(r.Key, job) {
				s.lost++
				return fateLate
			}
		}
		return fateDone
	}
}

// endLoss ends the loss of answers.
func (s *store) endLoss(log *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fateOf != nil {
		s.fateOf = nil
		log.add("store: loses no answers any more; of %d writes %d had none", s.written, s.lost)
	}
}
