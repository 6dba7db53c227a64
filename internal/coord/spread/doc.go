// Package spread distributes versioned configuration values to every daemon. A
// daemon never goes back to an earlier version.
//
// A [Store] activates a value only if it passes the check and its version is
// higher than that of the active value. If it is the next version, it must also
// name the active value as its predecessor. All other values are refused, and
// the latest refusals stay visible. So neither lost, repeated or reordered
// messages nor a stale configuration service can make a daemon go back.
//
// Values reach a daemon in three ways:
//
//   - From the configuration service. A few members of each data centre, the
//     readers, watch it; they are chosen by rank, so no election is needed, and
//     a wrong choice costs no more than some reads. Every daemon also reads it
//     at long intervals, chosen so that the whole fleet makes a constant number
//     of reads per second. The intervals are shorter while the active value has
//     not been confirmed for some time.
//   - By push. A daemon that activated a value sends it to a few others, as a
//     delta against the predecessor if that is small.
//   - By pull. Every message offers the sender's active value by version and
//     digest. A receiver with an older value fetches the newer one and names its
//     own, so that the answer can be a delta.
//
// Across regions only relays fetch values, and they take turns, so that a large
// value usually crosses the link between two regions only once.
package spread
