package link

import "net"

// handshakeLimit counts the connections that have not yet proved the key, altogether
// and by the host that they come from.
type handshakeLimit struct {
	max        int
	maxPerHost int
	total      int
	byHost     map[string]int
}

// begin counts a new connection. It returns false if there are too many.
func (p *handshakeLimit) begin(peer net.Addr) bool {
	host := hostOf(peer)
	if p.total >= p.max || p.byHost[host] >= p.maxPerHost {
		return false
	}
	p.total++
	p.byHost[host]++
	return true
}

// end forgets a connection that begin has counted.
func (p *handshakeLimit) end(peer net.Addr) {
	host := hostOf(peer)
	p.total--
	if p.byHost[host]--; p.byHost[host] == 0 {
		delete(p.byHost, host)
	}
}

func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}
