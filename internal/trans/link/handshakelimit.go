package link

import "net"

// handshakeLimit bounds the connections whose handshake has not ended, in total
// and for each host.
type handshakeLimit struct {
	max        int
	maxPerHost int
	total      int
	byHost     map[string]int
}

// begin counts a new connection. It returns false, and does not count the
// connection, if a bound is reached.
func (p *handshakeLimit) begin(peer net.Addr) bool {
	host := hostOf(peer)
	if p.total >= p.max || p.byHost[host] >= p.maxPerHost {
		return false
	}
	p.total++
	p.byHost[host]++
	return true
}

// end removes a connection that begin has counted.
func (p *handshakeLimit) end(peer net.Addr) {
	host := hostOf(peer)
	p.total--
	if p.byHost[host]--; p.byHost[host] == 0 {
		delete(p.byHost, host)
	}
}

// hostOf returns the host of addr without its port.
func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}
