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

// targetPortOffset is the distance from an instance's inbound port to its target's.
const targetPortOffset = 4

// assignHosts puts each instance of doc on a loopback address of its own, in a block
// of addresses drawn at random, so that two runs on one machine do not meet.
func assignHosts(doc rules.Document) rules.Document {
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

// hostRegions knows the region of each address.
type hostRegions map[string]string

func hostRegionsOf(set *rules.Set) hostRegions {
	p := make(hostRegions)
	for _, service := range set.Services() {
		for _, t := range set.Targets(service) {
			p[t.Host] = t.Region
		}
	}
	return p
}

// connector returns a connection maker for a process in region. Connections to
// another region are slower by the delay between regions.
func (p hostRegions) connector(region string) func(addr string, wait time.Duration) (net.Conn, error) {
	return func(addr string, wait time.Duration) (net.Conn, error) {
		host, _, _ := strings.Cut(addr, ":")
		crossesRegion := p[host] != "" && p[host] != region
		if crossesRegion {
			time.Sleep(regionDelay.Duration())
		}
		conn, err := net.DialTimeout("tcp", addr, wait)
		if err != nil || !crossesRegion {
			return conn, err
		}
		return &crossRegionConn{
			Conn: conn,
		}, nil
	}
}

// crossRegionConn delays each request, and with it the answer, by the round trip
// between regions.
type crossRegionConn struct {
	net.Conn
	mu sync.Mutex
	// awaitsAnswer is set while a request is sent and its answer has not begun.
	awaitsAnswer bool
}

// Write delays the first part of a request.
func (c *crossRegionConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	first := !c.awaitsAnswer
	c.awaitsAnswer = true
	c.mu.Unlock()
	if first {
		time.Sleep(regionDelay.Duration())
	}
	return c.Conn.Write(b)
}

// Read notes that an answer begins.
func (c *crossRegionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.awaitsAnswer = false
	c.mu.Unlock()
	return n, err
}
