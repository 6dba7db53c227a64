// Command probe2 holds the stand-ins and the cases of a review.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Println("usage: probe2 soak SEED SECONDS [planned]")
		os.Exit(2)
	}
	program := os.Getenv("SISKIND")
	if program == "" {
		program = "target/siskind"
	}
	switch os.Args[1] {
	case "mem":
		size, _ := strconv.Atoi(os.Args[3])
		n, _ := strconv.Atoi(os.Args[4])
		os.Exit(runMem(program, os.Args[2], size, n))
	case "endless":
		n, _ := strconv.Atoi(os.Args[3])
		os.Exit(runEndless(program, os.Args[2], n))
	case "quota":
		hosts, _ := strconv.Atoi(os.Args[2])
		rate, _ := strconv.ParseFloat(os.Args[3], 64)
		burst, _ := strconv.ParseFloat(os.Args[4], 64)
		spread, _ := time.ParseDuration(os.Args[6])
		os.Exit(runQuota(program, hosts, rate, burst, os.Args[5], spread))
	case "odd":
		os.Exit(runOdd(program))
	case "heads":
		os.Exit(runHeads(program, os.Getenv("TROUBLE") != "0", os.Stdout))
	case "odd2":
		os.Exit(runOdd2(program))
	case "foreign":
		n, _ := strconv.Atoi(os.Args[2])
		os.Exit(runForeign(program, os.Getenv("TROUBLE") != "0", n, os.Stdout))
	case "moved":
		os.Exit(runMoved(program, os.Getenv("TROUBLE") != "0", os.Stdout))
	case "entries":
		os.Exit(runEntries(program))
	case "crowd":
		n, _ := strconv.Atoi(os.Args[2])
		m, _ := strconv.Atoi(os.Args[3])
		os.Exit(runCrowd(program, n, m))
	case "churn":
		n, _ := strconv.Atoi(os.Args[2])
		m, _ := strconv.Atoi(os.Args[3])
		os.Exit(runChurn(program, os.Getenv("TROUBLE") != "0", n, m, os.Stdout))
	case "soak":
		seed, _ := strconv.ParseInt(os.Args[2], 10, 64)
		secs, _ := strconv.Atoi(os.Args[3])
		os.Exit(runSoak(program, seed, time.Duration(secs)*time.Second, len(os.Args) > 4))
	}
	os.Exit(2)
}
