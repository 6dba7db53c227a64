package inbnd

import (
	"siskinswitch.example/siskin/internal/proto/reply"
	"siskinswitch.example/siskin/internal/state/admit"
	"siskinswitch.example/siskin/internal/state/rules"
)

// load is the state of the gate that each reply carries.
type load struct {
	threshold admit.Threshold
	short     reply.Lane
	long      reply.Lane
	leaving   bool
}

// load returns the current load of the gate.
func (s *Server) load() load {
	st := s.gate.Stats()
	return load{
		threshold: st.Threshold,
		short:     laneOf(st.Lanes[rules.Short]),
		long:      laneOf(st.Lanes[rules.Long]),
		leaving:   s.gate.IsDraining(),
	}
}

// laneOf returns the load of a lane. Queued requests count as running.
func laneOf(l admit.Lane) reply.Lane {
	return reply.Lane{
		Running: l.Running + l.Queued,
		Limit:   l.Limit,
	}
}
