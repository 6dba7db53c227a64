package rules

import "slices"

// Clone returns a copy of d that shares no memory with it.
func (d Document) Clone() Document {
	d.Regions = slices.Clone(d.Regions)
	for n := range d.Regions {
		d.Regions[n].Centres = slices.Clone(d.Regions[n].Centres)
	}
	d.Callers = slices.Clone(d.Callers)
	d.Services = slices.Clone(d.Services)
	for n := range d.Services {
		d.Services[n] = d.Services[n].clone()
	}
	d.Leaving = slices.Clone(d.Leaving)
	d.Objectives = slices.Clone(d.Objectives)
	return d
}

func (s Service) clone() Service {
	s.Operations = slices.Clone(s.Operations)
	for n := range s.Operations {
		s.Operations[n].Calls = slices.Clone(s.Operations[n].Calls)
	}
	s.Instances = slices.Clone(s.Instances)
	return s
}

// WithVersion returns a copy of d as a new version: with the version number,
// the digest of its predecessor, its author and the reason for the change.
func (d Document) WithVersion(version uint64, parent, author, reason string) Document {
	d = d.Clone()
	d.Version = version
	d.Parent = parent
	d.Author = author
	d.Reason = reason
	return d
}

// WithServices returns a copy of d with the given services in place of its own.
func (d Document) WithServices(services []Service) Document {
	d.Services = services
	return d.Clone()
}

// WithLeaving returns a copy of d with the given names as its list of leaving
// targets.
func (d Document) WithLeaving(names []string) Document {
	d.Leaving = names
	return d.Clone()
}
