// Package agent is the control state machine of a daemon.
//
// An [Agent] holds the view of the members, the active configuration and the
// marks of leaving hosts, and publishes them together as an immutable
// [Snapshot]. It does no I/O and reads no clock: time and messages are passed
// in, and its output goes through the function fields of [Config]. So the same
// code runs in one goroutine of a daemon on the real network, and hundreds of
// times in one process on a simulated one.
//
// The agent's data may be incomplete, outdated or different on each host. It
// makes the choices of a daemon good and fast, but no guarantee depends on it.
package agent
