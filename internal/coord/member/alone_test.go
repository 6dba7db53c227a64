package member

import (
	"math/rand/v2"
	"testing"
)

// TestNodeWithoutPeers starts a node with an empty list of peers, as a daemon
// does before it has an inventory.
func TestNodeWithoutPeers(t *testing.T) {
	n := New(0, Config{
		Self: Peer{
			Host:   "127.0.0.1:1",
			Region: "west",
			Centre: "w1",
		},
		Incarnation: 1,
		Rand:        rand.New(rand.NewPCG(1, 1)),
	}, nil)
	if rank := n.Rank(); rank != 0 {
		t.Errorf("rank = %d, want 0 for the only member", rank)
	}
	n.SetPeers(1, nil)
	if rank := n.Rank(); rank != 0 {
		t.Errorf("rank = %d after the empty list was set again, want 0", rank)
	}
}
