package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store in the form of the platform's API.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, for reading only. It is sound: what
// it answers is linearizable and its history is complete.
type store struct {
	addr string

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	// lose is the share of answers that are lost, random its source. lost counts
	// the answers that were lost.
	lose   float64
	random *rand.Rand
	lost   int
	mux    *http.ServeMux
}

// A page has at most so many items, and bytes of values.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{
		addr:     addr,
		changed:  make(chan struct{}),
		revision: 10,
		items:    make(map[string]item),
	}
	s.random = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /v1/kv-range", s.list)
	s.mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(l, s.mux) }()
	return s, nil
}

// serveAt serves the store at another address too. The result ends that.
func (s *store) serveAt(addr string) (func(), error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.mux}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }, nil
}

// setLoss sets the share of answers that are lost from now on.
func (s *store) setLoss(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = share
}

// loses decides whether an answer is lost. The connection then returns nothing
// further, but stays open.
func (s *store) loses(w http.ResponseWriter) bool {
	s.mu.Lock()
	isLost := s.random.Float64() < s.lose
	if isLost {
		s.lost++
	}
	s.mu.Unlock()
	if !isLost {
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
	}
	return true
}

// put writes a key and returns when the write is acknowledged.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: b})
}

func (s *store) remove(key string) { s.change(item{Key: key, Removed: true}) }

func (s *store) change(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.history = append(s.history, it)
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < pageItems && (n == 0 || bytes+len(found[n].Value) <= pageBytes) {
		bytes += len(found[n].Value)
		n++
	}
	more := n < len(found)
	found = found[:n]
	if s.loses(w) {
		return
	}
	reply(w, map[string]any{"items": found, "has-more": more, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err1 != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				found = append(found, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			if s.loses(w) {
				return
			}
			reply(w, map[string]any{"events": found, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, map[string]any{"events": []item{}, "as-of": revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}
