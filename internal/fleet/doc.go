// Package fleet simulates hundreds of control agents in one process, on a
// simulated network and clock, to test and measure how they work together.
//
// The simulation covers the agents, the loss, delay and partitions of the
// network between them, and a fake configuration service. It has no calls,
// targets or request queues. Two runs with the same seed are identical. Time
// advances in whole milliseconds. The size of a message is the size of its CBOR
// encoding plus a fixed [Overhead] for the transport.
package fleet
