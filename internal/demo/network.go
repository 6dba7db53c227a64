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

// targetPortOffset is the offset of a target's port from the inbound port of its
// instance.
const targetPortOffset = 4

// assignHosts returns doc with a separate loopback address for each instance.
// The addresses are in a random block, so that two runs on one machine do not
// collide.
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

// hostRegions holds the region of each host address.
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

// connector returns a function that opens connections for a process in region.
// Connections to another region have the additional delay between regions.
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

// crossRegionConn delays each request by the additional round-trip time between
// regions, which delays its answer as well.
type crossRegionConn struct {
	net.Conn
	mu sync.Mutex
	// awaitsAnswer is set from the first write of a request until the first read
	// of its answer.
	awaitsAnswer bool
}

// Write delays the first write of a request.
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

// Read marks the beginning of an answer.
func (c *crossRegionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.awaitsAnswer = false
	c.mu.Unlock()
	return n, err
}
