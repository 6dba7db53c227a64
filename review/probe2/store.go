package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its last change.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store, for readers only.
type store struct {
	addr string
	ln   net.Listener

	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]item
	history  []item
	kept     int64 // history up to here was dropped
	mode     string
	// pageBytes bounds the values of one page, 0 is no bound.
	pageBytes int
	// answerTime is the time of an answer and bytesPerSecond the bandwidth that all
	// readers share, 0 is no bound.
	answerTime     time.Duration
	bytesPerSecond int
	link           sync.Mutex
	// end closes the present address.
	end func()
}

func newStore(addr string) (*store, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{
		addr:     ln.Addr().String(),
		ln:       ln,
		revision: 1,
		items:    map[string]item{},
	}
	s.changed = sync.NewCond(&s.mu)
	s.serve(ln)
	return s, nil
}

// serve serves readers that connect to ln, and returns what ends that.
func (s *store) serve(ln net.Listener) (end func()) {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/kv-range", s.serveRange)
	mux.HandleFunc("/v1/kv-watch", s.serveWatch)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	if s.end == nil {
		s.end = func() { _ = server.Close() }
	}
	return func() { _ = server.Close() }
}

// moveTo makes the store answer at another address too, and returns what ends the old one.
func (s *store) moveTo(addr string) (old func(), err error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	old = s.end
	s.end = s.serve(ln)
	s.addr = ln.Addr().String()
	return old, nil
}

func (s *store) put(key string, value []byte) int64 { return s.change(item{Key: key, Value: value}) }

func (s *store) remove(key string) int64 { return s.change(item{Key: key, Removed: true}) }

func (s *store) change(it item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.Created = s.items[it.Key].Created
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.history = append(s.history, it)
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.changed.Broadcast()
	return s.revision
}

// forget drops all history but the last n changes.
func (s *store) forget(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) > 2*n {
		s.history = append([]item(nil), s.history[len(s.history)-n:]...)
		s.kept = s.history[0].Revision - 1
	}
}

func (s *store) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.changed.Broadcast()
}

func (s *store) fails(w http.ResponseWriter) bool {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case "silent":
		time.Sleep(20 * time.Second)
		return true
	}
	return false
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.fails(w) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	n, size := 0, 0
	for n < len(items) && n < 500 && (n == 0 || s.pageBytes == 0 || size+len(items[n].Value) <= s.pageBytes) {
		size += len(items[n].Value)
		n++
	}
	s.reply(w, map[string]any{"items": items[:n], "has-more": n < len(items), "as-of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if s.fails(w) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	for {
		if s.mode != "" {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a waiting watch may be cut
		}
		if after < s.kept {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			revision := s.revision
			s.mu.Unlock()
			s.reply(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		s.changed.Wait()
	}
}

func (s *store) reply(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v)
	time.Sleep(s.answerTime)
	if s.bytesPerSecond > 0 {
		s.link.Lock()
		time.Sleep(time.Duration(float64(len(body)) / float64(s.bytesPerSecond) * float64(time.Second)))
		s.link.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
