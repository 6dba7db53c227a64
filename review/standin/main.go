// Command standin plays the cases of the review: a small deployment of real
// daemons on loopback addresses, with a store, instances and clients that
// follow the users' pages.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario plays a case. With trouble false it leaves the disruption out.
type scenario func(w *world, trouble bool) (int, error)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		os.Exit(notRun)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	os.Exit(runCase(play, os.Args[2]))
}

func runCase(play scenario, dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	code, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w.say("exit %d", code)
	fmt.Println("exit", code)
	return code
}
