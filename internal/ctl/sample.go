package ctl

import (
	"context"
	"flag"
	"fmt"

	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const sampleHelp = `siskinctl sample [--instances N] [--services N] [--depth N] [--regions N] [--centres N] [--out FILE]
  Writes a generated document, for trials at any size. The same flags always
  give the same document. All instances are on the loopback address, with ports
  from 20000 up, ten for each instance.
  Exit code 0 if it was written, 1 if it would be refused, 2 for wrong usage.

  Example: siskinctl sample --instances 780 --out large.json
`

// Ports in generated documents.
const (
	// sampleFirstPort is the first port of the first instance.
	sampleFirstPort = 20_000
	// sampleStride is the number of ports reserved for each instance.
	sampleStride = 10
	// sampleLastPort is the last port before the ephemeral ports that Linux
	// assigns by default.
	sampleLastPort = 32_767
)

// sampleSize holds the dimensions of a generated document.
type sampleSize struct {
	instances int
	services  int
	depth     int
	regions   int
	centres   int
}

func sampleCommand(env Env) *Command {
	var size sampleSize
	var out string
	return &Command{
		Keyword: "sample",
		Short:   "write a generated document of any size",
		Help:    sampleHelp,
		Env:     env,
		Flags: func(f *flag.FlagSet) {
			f.IntVar(&size.instances, "instances", 780, "number of instances")
			f.IntVar(&size.services, "services", 20, "number of services")
			f.IntVar(&size.depth, "depth", rules.MaxDepth, "number of operations on the longest chain of calls")
			f.IntVar(&size.regions, "regions", 2, "number of regions")
			f.IntVar(&size.centres, "centres", 5, "number of data centres in all")
			f.StringVar(&out, "out", stdio, "file to write, - for the standard output")
		},
		Do: func(_ context.Context, args []string) error {
			return writeSample(env, size, out, args)
		},
	}
}

func writeSample(env Env, size sampleSize, out string, args []string) error {
	const op = "sample"
	if len(args) > 0 {
		return usageError(op, "unexpected argument %q", args[0])
	}
	if err := size.check(op); err != nil {
		return err
	}
	data := config.Encode(size.document())
	if _, err := config.Parse(data); err != nil {
		return refusedError(op, "%w", err)
	}
	return env.writeFile(op, out, data)
}

func (s sampleSize) check(op string) error {
	maxInstances := (sampleLastPort + 1 - sampleFirstPort) / sampleStride
	switch {
	case s.instances < 1 || s.instances > maxInstances:
		return usageError(op, "--instances must be 1 to %d, the ports that there are", maxInstances)
	case s.services < 1 || s.services > s.instances:
		return usageError(op, "--services must be 1 to the number of instances")
	case s.depth < 1 || s.depth > min(rules.MaxDepth, s.services):
		return usageError(op, "--depth must be 1 to %d and at most the number of services", rules.MaxDepth)
	case s.regions < 1 || s.centres < s.regions:
		return usageError(op, "--regions must be at least 1 and --centres at least as many")
	}
	return nil
}

// document generates the document. Service n is on level n modulo the depth of
// the call graph; its operations call operations of two services on the next
// level.
func (s sampleSize) document() rules.Document {
	doc := rules.Document{
		Version:     1,
		Author:      "siskinctl sample",
		Reason:      fmt.Sprintf("generated with %d instances", s.instances),
		RetryBudget: 4,
		Callers: []rules.Caller{
			{
				Name:    "trial",
				Secret:  config.Digest([]byte("demo-trial")),
				Ceiling: rules.Vital,
			},
		},
	}
	for n := range s.regions {
		doc.Regions = append(doc.Regions, rules.Region{
			Name: fmt.Sprintf("region%d", n+1),
		})
	}
	for n := range s.centres {
		region := &doc.Regions[n%s.regions]
		region.Centres = append(region.Centres, fmt.Sprintf("centre%d", n+1))
	}
	for n := range s.services {
		doc.Services = append(doc.Services, rules.Service{
			Name:       sampleName(n),
			Owner:      fmt.Sprintf("team%d", n%6+1),
			Operations: s.operations(n),
		})
		doc.Objectives = append(doc.Objectives, rules.Objective{
			Service: sampleName(n),
			Good:    999_000,
			Latency: clock.Second,
		})
	}
	for n := range s.instances {
		service := &doc.Services[n%s.services]
		service.Instances = append(service.Instances, s.instance(n, service.Name))
	}
	return doc
}

func sampleName(n int) string { return fmt.Sprintf("service%02d", n+1) }

// operations returns the operations of service n: a read, a write and a
// long-running one.
func (s sampleSize) operations(n int) []rules.Operation {
	level := n % s.depth
	deadline := clock.Milli(s.depth-level) * 500
	reads := s.callsBelow(n, "read")
	return []rules.Operation{
		{
			Name:       "read",
			Importance: rules.Normal,
			Deadline:   deadline,
			Hedge:      true,
			Calls:      reads,
		},
		{
			Name:       "write",
			Importance: rules.Vital,
			AtMostOnce: true,
			Deadline:   deadline,
			Calls:      append(s.callsBelow(n, "write"), reads...),
		},
		{
			Name:       "audit",
			Importance: rules.Spare,
			Cost:       rules.Long,
			Deadline:   5 * clock.Minute,
			Calls:      reads,
		},
	}
}

// callsBelow returns the paths of an operation at the first two services on
// the level after that of service n.
func (s sampleSize) callsBelow(n int, operation string) []string {
	const maxCalls = 2
	var paths []string
	for m := range s.services {
		if m%s.depth == n%s.depth+1 && len(paths) < maxCalls {
			paths = append(paths, sampleName(m)+"/"+operation)
		}
	}
	return paths
}

func (s sampleSize) instance(n int, service string) rules.Instance {
	// Taking n/services as the index of the centre spreads the instances of
	// each service over all centres.
	centre := (n / s.services) % s.centres
	port := sampleFirstPort + n*sampleStride
	return rules.Instance{
		Name:     fmt.Sprintf("%s-%d", service, n/s.services+1),
		Place:    fmt.Sprintf("region%d/centre%d", centre%s.regions+1, centre+1),
		Host:     "127.0.0.1",
		Inbound:  port,
		Outbound: port + 1,
		Control:  port + 2,
		Operator: port + 3,
		Slots:    64,
		Conns:    400,
	}
}
