package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"siskinswitch.example/siskin/internal/state/rules"
)

// targetPort is the distance from an instance's inbound port to its target's.
const targetPort = 4

// place puts each instance of doc on a loopback address of its own, in a block
// of addresses drawn at random, so that two runs on one machine do not meet.
func place(doc rules.Document) rules.Document {
	doc = doc.Clone()
	block := fmt.Sprintf("127.%d.%d", 16+rand.IntN(224), rand.IntN(256))
	n := 0
	for i := range doc.Services {
		for j := range doc.Services[i].Instances {
			n++
			doc.Services[i].Instances[j].Host = fmt.Sprintf("%s.%d", block, n)
		}
	}
	return doc
}

// places knows the region of each address.
type places map[string]string

func placesOf(set *rules.Set) places {
	p := make(places)
	for _, service := range set.Services() {
		for _, t := range set.Targets(service) {
			p[t.Host] = t.Region
		}
	}
	return p
}

// connector returns a connection maker for a process in region. Connections to
// another region are slower by the delay between regions.
func (p places) connector(region string) func(addr string, wait time.Duration) (net.Conn, error) {
	return func(addr string, wait time.Duration) (net.Conn, error) {
		host, _, _ := strings.Cut(addr, ":")
		far := p[host] != "" && p[host] != region
		if far {
			time.Sleep(regionDelay.Duration())
		}
		conn, err := net.DialTimeout("tcp", addr, wait)
		if err != nil || !far {
			return conn, err
		}
		return &farConn{
			Conn: conn,
		}, nil
	}
}

// farConn delays each request, and with it the answer, by the round trip
// between regions.
type farConn struct {
	net.Conn
	mu sync.Mutex
	// asking is set while a request is sent and its answer has not begun.
	asking bool
}

// Write delays the first part of a request.
func (c *farConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	first := !c.asking
	c.asking = true
	c.mu.Unlock()
	if first {
		time.Sleep(regionDelay.Duration())
	}
	return c.Conn.Write(b)
}

// Read notes that an answer begins.
func (c *farConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.asking = false
	c.mu.Unlock()
	return n, err
}
