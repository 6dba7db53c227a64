package diag

import (
	"cmp"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
)

// Summary sums up the logs of many daemons.
type Summary struct {
	groups  map[groupKey]*Group
	seconds map[int64]*Second
	events  map[string]int
	// Omitted is the number of lines that the daemons did not write, and Unread
	// that of lines that could not be read.
	Omitted    int
	Unreadable int
}

// groupKey names requests that are counted together. Calls of targets are told
// from what callers sent.
type groupKey struct {
	service    string
	importance string
	isCall     bool
}

// Group is what became of the requests of one service and importance.
type Group struct {
	Service    string `json:"service"`
	Importance string `json:"importance"`
	// IsCall says that targets sent them, not callers.
	IsCall bool `json:"call"`
	// Served is an estimate: only a part of the lines is kept.
	Served int            `json:"whole"`
	Failed int            `json:"failed"`
	Causes map[string]int `json:"causes"`
}

// Second is a second of a day.
type Second struct {
	At     time.Time `json:"at"`
	Served int       `json:"whole"`
	Failed int       `json:"failed"`
}

// NewSummary returns an empty day.
func NewSummary() *Summary {
	return &Summary{
		groups:  make(map[groupKey]*Group),
		seconds: make(map[int64]*Second),
		events:  make(map[string]int),
	}
}

// Add takes one line of a log.
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

// Seconds returns the seconds in which callers were answered, in order.
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

// Count is a number of like things.
type Count struct {
	Name string `json:"what"`
	N    int    `json:"n"`
}

// Events returns how often each event that is not about a request was logged,
// the most frequent first.
func (s *Summary) Events() []Count { return sortCounts(s.events) }

// TopCauses returns the causes of failures, the most frequent first.
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
