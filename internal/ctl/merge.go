package ctl

import (
	"fmt"
	"slices"
	"strings"

	"siskinswitch.example/siskin/internal/state/rules"
)

// merger merges the rows of an asset register into a base document. The
// register decides on services, owners, instances and places. Operations,
// callers and all other rules are those of the base.
type merger struct {
	base rules.Document
	rows []row
	// refused holds the rows that are not merged.
	refused []refusedRow
	// kept holds the instance names of refused rows. Instances of these names
	// stay in the draft as the base has them. An empty name stands for a row
	// whose name could not be read. Since it may be the row of any instance,
	// all instances of the base stay then.
	kept map[string]bool
}

// merge returns the draft. It refuses rows that would make the draft invalid;
// instances named by a refused row stay as the base has them. Each refusal
// changes the draft, so merge repeats until no row is at fault.
func (m *merger) merge() rules.Document {
	m.refuseDuplicates()
	for {
		draft := m.draft()
		bad := m.badRows(draft)
		if len(bad) == 0 {
			return draft
		}
		m.refuseLines(bad)
	}
}

// refuseDuplicates refuses rows that repeat the instance name of an earlier
// row and rows that give a service another owner than its first row does.
func (m *merger) refuseDuplicates() {
	names := make(map[string]int)
	owners := make(map[string]row)
	bad := make(map[int]string)
	for _, r := range m.rows {
		if first, ok := names[r.instance.Name]; ok {
			bad[r.line] = fmt.Sprintf("line %d lists this instance already", first)
			continue
		}
		names[r.instance.Name] = r.line
		first, ok := owners[r.service]
		if ok && first.owner != r.owner {
			bad[r.line] = fmt.Sprintf("%s belongs to %s, but in line %d to %s", r.service, r.owner, first.line, first.owner)
		}
		if !ok {
			owners[r.service] = r
		}
	}
	m.refuseLines(bad)
}

// refuseLines refuses the rows whose lines are keys of reasons.
func (m *merger) refuseLines(reasons map[int]string) {
	var accepted []row
	for _, r := range m.rows {
		reason, ok := reasons[r.line]
		if !ok {
			accepted = append(accepted, r)
			continue
		}
		m.refused = append(m.refused, refusedRow{
			Line:   r.line,
			Name:   r.instance.Name,
			Reason: reason,
		})
	}
	m.rows = accepted
	for _, r := range m.refused {
		m.kept[r.Name] = true
	}
	for _, r := range m.rows {
		delete(m.kept, r.instance.Name)
	}
}

// draft builds the document from the rows not refused.
func (m *merger) draft() rules.Document {
	doc := m.base.Clone()
	for _, r := range m.rows {
		doc.Regions = withPlace(doc.Regions, r.region, r.centre)
	}
	rows := make(map[string]row, len(m.rows))
	for _, r := range m.rows {
		rows[r.instance.Name] = r
	}
	var services []rules.Service
	for _, service := range doc.Services {
		before := service.Instances
		service.Instances = nil
		for _, instance := range before {
			r, ok := rows[instance.Name]
			switch {
			case ok && r.service == service.Name:
				service.Instances = append(service.Instances, r.fill(instance))
				delete(rows, instance.Name)
			case !ok && (m.kept[instance.Name] || m.kept[""]):
				service.Instances = append(service.Instances, instance)
			}
		}
		services = append(services, service)
	}
	for _, r := range m.rows {
		if _, ok := rows[r.instance.Name]; ok {
			services = withInstance(services, r)
		}
	}
	doc.Services = slices.DeleteFunc(services, func(s rules.Service) bool { return len(s.Instances) == 0 })
	doc.Leaving = slices.DeleteFunc(doc.Leaving, func(name string) bool { return !hasInstance(doc, name) })
	m.setOwners(doc)
	return doc
}

func (m *merger) setOwners(doc rules.Document) {
	owners := make(map[string]string)
	for _, r := range m.rows {
		owners[r.service] = r.owner
	}
	for i := range doc.Services {
		if owner, ok := owners[doc.Services[i].Name]; ok {
			doc.Services[i].Owner = owner
		}
	}
}

// badRows checks the draft and returns, by line, why a row must be refused.
func (m *merger) badRows(draft rules.Document) map[int]string {
	lines := make(map[string]int, len(m.rows))
	for _, r := range m.rows {
		lines[r.instance.Name] = r.line
	}
	bad := make(map[int]string)
	for _, p := range rules.Check(draft) {
		var service, instance int
		if n, _ := fmt.Sscanf(p.Path, "services[%d].instances[%d]", &service, &instance); n < 2 {
			continue
		}
		line, ok := lines[draft.Services[service].Instances[instance].Name]
		if _, again := bad[line]; !ok || again {
			continue
		}
		field := p.Path[strings.LastIndex(p.Path, ".")+1:]
		bad[line] = field + ": " + p.Text
		if isNotGiven(draft.Services[service].Instances[instance], field) {
			bad[line] = field + " is given neither by the register nor by the base"
		}
	}
	return bad
}

// isNotGiven reports whether the register gives no value for a number of an
// instance, which is named as in the document.
func isNotGiven(i rules.Instance, field string) bool {
	numbers := map[string]int{
		"inbound":  i.Inbound,
		"outbound": i.Outbound,
		"control":  i.Control,
		"operator": i.Operator,
		"slots":    i.Slots,
		"conns":    i.Conns,
	}
	n, ok := numbers[field]
	return ok && n == notGiven
}

// fill returns the instance of r. Numbers that the register does not give are
// copied from another instance.
func (r row) fill(from rules.Instance) rules.Instance {
	filled := r.instance
	filled.Place = r.region + "/" + r.centre
	fillNumber(&filled.Inbound, from.Inbound)
	fillNumber(&filled.Outbound, from.Outbound)
	fillNumber(&filled.Control, from.Control)
	fillNumber(&filled.Operator, from.Operator)
	fillNumber(&filled.Slots, from.Slots)
	fillNumber(&filled.Conns, from.Conns)
	return filled
}

func fillNumber(n *int, from int) {
	if *n == notGiven {
		*n = from
	}
}

// withInstance adds the instance of r to its service, which it creates if
// needed. Numbers that the register does not give are copied from the first
// instance of the service.
func withInstance(services []rules.Service, r row) []rules.Service {
	n := slices.IndexFunc(services, func(s rules.Service) bool { return s.Name == r.service })
	if n < 0 {
		n = len(services)
		services = append(services, rules.Service{
			Name: r.service,
		})
	}
	defaults := r.instance
	if len(services[n].Instances) > 0 {
		defaults = services[n].Instances[0]
	}
	services[n].Instances = append(services[n].Instances, r.fill(defaults))
	return services
}

// withPlace adds a region and a centre unless they are listed already.
func withPlace(regions []rules.Region, region, centre string) []rules.Region {
	n := slices.IndexFunc(regions, func(r rules.Region) bool { return r.Name == region })
	if n < 0 {
		return append(regions, rules.Region{
			Name:    region,
			Centres: []string{centre},
		})
	}
	if !slices.Contains(regions[n].Centres, centre) {
		regions[n].Centres = append(regions[n].Centres, centre)
	}
	return regions
}

func hasInstance(doc rules.Document, name string) bool {
	for _, service := range doc.Services {
		for _, instance := range service.Instances {
			if instance.Name == name {
				return true
			}
		}
	}
	return false
}
