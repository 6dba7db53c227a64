package procs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"

	"siskinswitch.example/siskin/internal/state/rules"
)

// Ports of every daemon and target on its own host. They are below the range of
// ephemeral ports, so that outgoing connections do not occupy them.
const (
	inboundPort  = 7001
	outboundPort = 7002
	controlPort  = 7003
	operatorPort = 7004
	targetPort   = 7005
	// relayedPort is the inbound port of a daemon behind a relay. The relay listens
	// on inboundPort.
	relayedPort = 7006
)

// Secret is the bearer token of the only caller in a [Document].
const Secret = "secret-of-the-shop"

// Operations of the services in a [Document].
const (
	readOp = "read"
	postOp = "post"
)

// centrePlaces are the data centres that instances are distributed over.
var centrePlaces = []string{"west/w1", "east/e1", "west/w2", "east/e2", "west/w3"}

// Size is the size of a fleet.
type Size struct {
	// Pairs is the number of pairs of services: "front0" calls "back0" and so on.
	Pairs int
	// Instances is the total number of instances, distributed over the services.
	Instances int
	// Centres is the number of data centres, at most five.
	Centres int
}

// Document returns an inventory and rules of the given size. Each service has an
// idempotent operation "read" and a non-idempotent one "post". The operations of
// a front service call those of the same name of its back service.
func Document(s Size) rules.Document {
	sum := sha256.Sum256([]byte(Secret))
	doc := rules.Document{
		Version:     1,
		Author:      "procs",
		Reason:      "first",
		RetryBudget: 4,
		Regions: []rules.Region{
			{
				Name:    "west",
				Centres: []string{"w1", "w2", "w3"},
			},
			{
				Name:    "east",
				Centres: []string{"e1", "e2"},
			},
		},
		Callers: []rules.Caller{
			{
				Name:    "shop",
				Secret:  hex.EncodeToString(sum[:]),
				Ceiling: rules.Vital,
			},
		},
	}
	for i := range s.Pairs {
		back := fmt.Sprintf("back%d", i)
		doc.Services = append(doc.Services,
			newService(fmt.Sprintf("front%d", i), back+"/"+readOp, back+"/"+postOp),
			newService(back, "", ""))
	}
	for i := range s.Instances {
		to := &doc.Services[i%len(doc.Services)]
		n := len(to.Instances)
		to.Instances = append(to.Instances, newInstance(to.Name, n, i, centrePlaces[n%s.Centres]))
	}
	return doc
}

// newService returns a service whose operations call read and post, or nothing if
// these are empty.
func newService(name, read, post string) rules.Service {
	s := rules.Service{
		Name:  name,
		Owner: "procs",
		Operations: []rules.Operation{
			{
				Name:       readOp,
				Importance: rules.Normal,
				Deadline:   4000,
			},
			{
				Name:       postOp,
				Importance: rules.Vital,
				AtMostOnce: true,
				Deadline:   4000,
			},
		},
	}
	if read != "" {
		s.Operations[0].Calls = []string{read}
		s.Operations[1].Calls = []string{post}
	}
	return s
}

// newInstance returns the instance number n of a service, number i of all.
func newInstance(service string, n, i int, place string) rules.Instance {
	return rules.Instance{
		Name:     fmt.Sprintf("%s-%d", service, n+1),
		Place:    place,
		Host:     hostAddr(i),
		Inbound:  inboundPort,
		Outbound: outboundPort,
		Control:  controlPort,
		Operator: operatorPort,
		Slots:    16,
		Conns:    128,
	}
}

// hostAddr returns the i-th of 2,000 loopback addresses, which are chosen by the
// process id so that processes running at the same time rarely share them.
func hostAddr(i int) string {
	const (
		firstNet  = 80
		nets      = 32
		blocks    = 8
		blockSize = 250
	)
	pid := os.Getpid()
	block := pid/nets%nets*blocks + i/blockSize%blocks
	return fmt.Sprintf("127.%d.%d.%d", firstNet+pid%nets, block, 1+i%blockSize)
}
