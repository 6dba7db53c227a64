// Package faults runs the once-only path under seeded schedules of faults and
// checks what it promises.
//
// A schedule is one run of a small discrete-event model: callers, outbound
// daemons, guarding daemons and their targets on a fake clock, joined by a
// network that loses, delays, doubles and reorders messages and splits in
// two. Processes pause, crash, are replaced while the old one still lives,
// and stop in an orderly way; the inventory and the rules change. The models
// carry messages only: every decision is made by the real ticket, guard table
// and shelf. A seed gives the whole schedule, so a failure is repeated by its
// seed.
//
// The checker watches from outside. It sees each run at a target as it
// begins and each word that is said about a request, and reports a
// [Violation] when a request runs twice, when one that was said not to have
// run has run or runs later, when an answer is not the whole answer of the
// first run, or when a caller is left with an unknown outcome although some
// living daemon knows better.
//
// A [Defect] is a fault put into the models on purpose. It shows that the
// checker can fail.
package faults
