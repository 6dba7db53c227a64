package diag

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
)

// Summary counts what the logs of many daemons say, usually for one day.
type Summary struct {
	groups  map[groupKey]*Group
	seconds map[int64]*Second
	events  map[string]int
	// Omitted is the number of lines that daemons left out of their logs.
	Omitted int
}

// groupKey identifies requests that are counted together. Calls made by targets
// are counted apart from requests of callers.
type groupKey struct {
	service    string
	importance string
	isCall     bool
}

// Group counts the results of requests of one service and importance.
type Group struct {
	Service    string `json:"service"`
	Importance string `json:"importance"`
	// IsCall says that the requests are calls made by targets, not requests of
	// callers.
	IsCall bool `json:"call"`
	// Served is an estimate, because daemons log only a sample of the requests
	// that they served.
	Served int            `json:"whole"`
	Failed int            `json:"failed"`
	Causes map[string]int `json:"causes"`
}

// Second counts the results of callers' requests that ended in one second.
type Second struct {
	At     time.Time `json:"at"`
	Served int       `json:"whole"`
	Failed int       `json:"failed"`
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		groups:  make(map[groupKey]*Group),
		seconds: make(map[int64]*Second),
		events:  make(map[string]int),
	}
}

// Add counts one log line.
func (s *Summary) Add(l Line) {
	switch l.Event {
	case event.LinesOmitted.Number:
		s.Omitted += l.Omitted
	case event.Answered.Number:
		s.addAnswer(&l)
	case event.Attempt.Number:
	default:
		s.events[l.Message]++
	}
}

func (s *Summary) addAnswer(l *Line) {
	key := groupKey{
		service:    l.Service,
		importance: l.Importance,
		isCall:     l.Depth > 0,
	}
	g, ok := s.groups[key]
	if !ok {
		g = &Group{
			Service:    l.Service,
			Importance: l.Importance,
			IsCall:     l.Depth > 0,
			Causes:     make(map[string]int),
		}
		s.groups[key] = g
	}
	second := l.Time.Unix()
	sec, ok := s.seconds[second]
	if !ok {
		sec = &Second{
			At: time.Unix(second, 0).UTC(),
		}
		s.seconds[second] = sec
	}
	isServed := l.End == event.EndDone && l.Status < fasthttp.StatusInternalServerError
	n := max(l.Sample, 1)
	if isServed {
		g.Served += n
	} else {
		g.Failed += n
		g.Causes[l.End+": "+l.Reason] += n
	}
	if l.Depth > 0 {
		return
	}
	if isServed {
		sec.Served += n
	} else {
		sec.Failed += n
	}
}

// Groups returns the groups, those with the most failures first.
func (s *Summary) Groups() []Group {
	list := make([]Group, 0, len(s.groups))
	for _, g := range s.groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Importance, b.Importance))
	})
	return list
}

// Seconds returns the seconds in which callers were answered, in order of time.
func (s *Summary) Seconds() []Second {
	list := make([]Second, 0, len(s.seconds))
	for _, sec := range s.seconds {
		if sec.Served+sec.Failed > 0 {
			list = append(list, *sec)
		}
	}
	slices.SortFunc(list, func(a, b Second) int { return a.At.Compare(b.At) })
	return list
}

// Count says how often something named was logged.
type Count struct {
	Name string `json:"what"`
	N    int    `json:"n"`
}

// Events returns how often each event other than an answer or an attempt was
// logged, most frequent first.
func (s *Summary) Events() []Count { return sortCounts(s.events) }

// TopCauses returns the causes of failures, most frequent first.
func (g *Group) TopCauses() []Count { return sortCounts(g.Causes) }

func sortCounts(counts map[string]int) []Count {
	list := make([]Count, 0, len(counts))
	for name, n := range counts {
		list = append(list, Count{
			Name: name,
			N:    n,
		})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Name, b.Name))
	})
	return list
}
