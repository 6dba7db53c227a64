package member

import "siskinswitch.example/siskin/pkg/clock"

// offerDigests returns the digests of the buckets, to be sent to a node whose
// view has the given root. It returns nil if the views agree or if digests
// were sent a short time ago.
func (n *Node) offerDigests(now clock.Milli, root uint64) []uint32 {
	if root == n.root || now-n.lastSync < SyncInterval {
		return nil
	}
	if now-n.lastUpdate < SyncInterval && now-n.lastSync < BusySyncInterval {
		return nil
	}
	n.lastSync = now
	return append([]uint32(nil), n.digests[:]...)
}

// Join requests the whole view of a host.
func (n *Node) Join(now clock.Milli, to string) {
	p := Part{
		Records: []Record{n.self.rec},
		Pull:    make([]uint8, 0, Buckets),
	}
	for i := range Buckets {
		p.Pull = append(p.Pull, uint8(i))
	}
	n.send(now, to, p)
}

// receiveSync answers digests with a request for the buckets that differ and
// the node's own records in them, and answers a request for buckets with their
// records.
func (n *Node) receiveSync(now clock.Milli, from string, p Part) {
	if len(p.Digests) == Buckets {
		answer := Part{}
		for i, d := range p.Digests {
			if d != n.digests[i] {
				answer.Pull = append(answer.Pull, uint8(i))
			}
		}
		if len(answer.Pull) > 0 {
			answer.Records = n.records(answer.Pull)
			n.send(now, from, answer)
		}
	}
	if pull := truncate(p.Pull, Buckets); len(pull) > 0 {
		n.send(now, from, Part{
			Records: n.records(pull),
		})
	}
}

// records returns the records in the given buckets, at most MaxRecords.
func (n *Node) records(buckets []uint8) []Record {
	var wanted [Buckets]bool
	for _, b := range buckets {
		if int(b) < Buckets {
			wanted[b] = true
		}
	}
	var list []Record
	for _, c := range n.centres {
		for _, h := range c.hosts {
			if wanted[h.bucket()] && h.rec.Revision > 0 && len(list) < MaxRecords {
				list = append(list, h.rec)
			}
		}
	}
	return list
}
