package link

import "net"

// proofs counts the connections that have not yet proved the key, altogether
// and by the host that they come from.
type proofs struct {
	max     int
	maxHost int
	total   int
	hosts   map[string]int
}

// begin counts a new connection. It returns false if there are too many.
func (p *proofs) begin(peer net.Addr) bool {
	host := hostOf(peer)
	if p.total >= p.max || p.hosts[host] >= p.maxHost {
		return false
	}
	p.total++
	p.hosts[host]++
	return true
}

// end forgets a connection that begin has counted.
func (p *proofs) end(peer net.Addr) {
	host := hostOf(peer)
	p.total--
	if p.hosts[host]--; p.hosts[host] == 0 {
		delete(p.hosts, host)
	}
}

func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}
