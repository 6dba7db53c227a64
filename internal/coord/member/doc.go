// Package member keeps a view of which hosts are alive.
//
// It follows the SWIM protocol. In each period a [Node] pings one other member.
// If the ping is not answered in time, the node asks a few neighbors to ping
// that member too. If none of them gets an answer, the node marks the member as
// suspect, and as dead if the member does not refute the suspicion in time. A
// host refutes by raising the revision of its own record, which no other host
// may do, so views can be merged in any order and converge on the same records.
//
// Three things differ from SWIM, because hosts are spread over data centres and
// the link between regions is slow and billed by volume:
//
//   - Members suspect only members of their own data centre. A ping lost on the
//     way to another data centre says more about the path than about the host,
//     and a network partition between data centres must not fill the views on
//     either side with hundreds of dead hosts.
//   - Reachability is kept for a whole data centre: the time since the latest
//     contact with it. Members gossip this age and keep the smallest one, which
//     merges without conflict and recovers with the first contact.
//   - Only a few members of each data centre, its relays, exchange messages with
//     other regions. They are chosen by rendezvous hashing over the live
//     members, so no election is needed, and a wrong view costs no more than a
//     few messages.
//
// A changed record is sent at once to a few random members and then piggybacked
// on pings and their answers; the digests on pings detect updates that were
// lost. A view may be wrong: [Usable] bounds the share of a service's hosts that
// it can exclude.
package member
