// Package faults tests the at-most-once handling of non-idempotent requests:
// it simulates seeded schedules of faults and checks the guarantees.
//
// A schedule is one run of a small discrete-event simulation of callers,
// outbound daemons, guarding daemons and their targets on a fake clock. The
// network between them loses, delays, duplicates and reorders messages, and is
// partitioned in two sides at times. Processes pause, crash, are replaced while
// the old process is still alive, and stop as planned with a handover. The
// inventory and the rules change. The simulated processes only carry messages;
// every decision is made by the real [ticket.Ticket], [guard.Table] and
// [guard.HandoverStore]. The seed determines the whole schedule, so a failure
// is reproduced by running its seed again.
//
// The checker observes the simulation from outside. It sees the start of each
// run at a target and each verdict on a request, and reports a [Violation]
// when
//   - a request runs twice,
//   - a request that was reported as not run has run or runs later,
//   - an answer is not the complete answer of the first run,
//   - a caller ends with an unknown outcome although a living daemon knows the
//     outcome, or
//   - a request does not end after all faults have ended.
//
// A [Defect] is a deliberate bug in the simulated processes. The tests inject
// each defect to show that the checker detects it.
package faults
