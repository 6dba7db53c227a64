// Package rules holds the inventory and the rules that the daemons work with:
// the services, their instances, the regions and data centres, the callers, the
// operations, and how requests for these are treated.
//
// A [Document] is what an author wrote. [New] checks it and returns a [Set], an
// immutable value with the indexes that serving requests needs. A Set may be
// read from any goroutine.
//
// The check reports every fault that it finds, each with the path of the faulty
// value, so that an operator who repairs a document at night need not run it
// once per mistake. The operations and the calls between them form a graph. The
// check of this graph ensures what no single daemon could ensure alone: the
// calls form no cycles, no chain is longer than [MaxDepth] operations, and an
// operation that may reach a non-idempotent one is itself marked as
// non-idempotent.
package rules

import (
	"slices"
	"strings"
)

// Set is a checked Document with indexes. It is immutable: callers must not
// modify what its methods return.
type Set struct {
	doc              Document
	digest           string
	services         map[string]*Service
	ops              map[string]*Op
	targets          map[string]*Target
	targetsByService map[string][]*Target
	callers          map[string]*Caller
}

// Op is an operation together with its service.
type Op struct {
	Operation
	// Service is the name of the service that answers the operation.
	Service string
	// Path is "service/operation".
	Path string
}

// Target is an instance together with its service, region and data centre.
type Target struct {
	Instance
	Service string
	Region  string
	Centre  string
	// Leaving says that the document lists the target as leaving.
	Leaving bool
}

// New checks doc and returns its Set. The digest is the hex SHA-256 of the
// bytes that doc was decoded from; New stores it without checking it. The error
// is an [*Error] of [KindInvalid] that lists the problems that [Check] found.
func New(doc Document, digest string) (*Set, error) {
	if problems := Check(doc); len(problems) > 0 {
		return nil, &Error{
			Op:       "check rules",
			Kind:     KindInvalid,
			Problems: problems,
		}
	}
	s := &Set{
		doc:              doc.Clone(),
		digest:           digest,
		services:         make(map[string]*Service),
		ops:              make(map[string]*Op),
		targets:          make(map[string]*Target),
		targetsByService: make(map[string][]*Target),
		callers:          make(map[string]*Caller),
	}
	s.index()
	return s, nil
}

func (s *Set) index() {
	leaving := make(map[string]bool, len(s.doc.Leaving))
	for _, name := range s.doc.Leaving {
		leaving[name] = true
	}
	for n := range s.doc.Callers {
		caller := &s.doc.Callers[n]
		s.callers[caller.Secret] = caller
	}
	for n := range s.doc.Services {
		s.indexService(&s.doc.Services[n], leaving)
	}
}

func (s *Set) indexService(service *Service, leaving map[string]bool) {
	s.services[service.Name] = service
	for _, operation := range service.Operations {
		path := service.Name + "/" + operation.Name
		s.ops[path] = &Op{
			Operation: operation,
			Service:   service.Name,
			Path:      path,
		}
	}
	for _, instance := range service.Instances {
		region, centre, _ := strings.Cut(instance.Place, "/")
		target := &Target{
			Instance: instance,
			Service:  service.Name,
			Region:   region,
			Centre:   centre,
			Leaving:  leaving[instance.Name],
		}
		s.targets[instance.Name] = target
		s.targetsByService[service.Name] = append(s.targetsByService[service.Name], target)
	}
	slices.SortFunc(s.targetsByService[service.Name], func(a, b *Target) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Version returns the version of the document.
func (s *Set) Version() uint64 { return s.doc.Version }

// Digest returns the digest that was passed to New.
func (s *Set) Digest() string { return s.digest }

// Document returns a copy of the document.
func (s *Set) Document() Document { return s.doc.Clone() }

// RetryBudget returns the number of extra attempts that a root request may use.
func (s *Set) RetryBudget() int { return s.doc.RetryBudget }

// Op returns the operation at path, "service/operation".
func (s *Set) Op(path string) (*Op, bool) {
	op, ok := s.ops[path]
	return op, ok
}

// Service returns the service called name.
func (s *Set) Service(name string) (*Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the names of all services in the order of the document.
func (s *Set) Services() []string {
	names := make([]string, 0, len(s.doc.Services))
	for _, service := range s.doc.Services {
		names = append(names, service.Name)
	}
	return names
}

// Targets returns the targets of a service, sorted by name, and nil for an
// unknown service.
func (s *Set) Targets(service string) []*Target { return s.targetsByService[service] }

// Target returns the target called name.
func (s *Set) Target(name string) (*Target, bool) {
	target, ok := s.targets[name]
	return target, ok
}

// Caller returns the caller whose secret has the given hex SHA-256.
func (s *Set) Caller(secretDigest string) (*Caller, bool) {
	caller, ok := s.callers[secretDigest]
	return caller, ok
}

// Objectives returns the service-level objectives in the order of the document.
func (s *Set) Objectives() []Objective { return s.doc.Objectives }
