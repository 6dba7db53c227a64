package procs

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

var seed = flag.Uint64("seed", 1, "seed of the order of faults, of the victims and of the calls")

// maxShown is the number of violations that a failed run prints.
const maxShown = 20

// TestProcesses injects all [Faults] into a fleet of daemon processes under load,
// in an order chosen by the seed, and checks the guarantees of the daemons.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	program, err := Compile(context.Background(), dir)
	if err != nil {
		t.Fatal(err)
	}
	w, err := NewWorld(WorldConfig{
		Program: program,
		Dir:     dir,
		Size: Size{
			Pairs:     1,
			Instances: 8,
			Centres:   2,
		},
		Relayed: []string{"front0-4", "back0-4"},
		Callers: 8,
		Seed:    *seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	t.Cleanup(func() { showLogs(t, w) })
	if err := w.AwaitHealthy(HealthyWait); err != nil {
		t.Fatal(err)
	}
	w.Run()
	faults := Faults()
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	rng := rand.New(rand.NewPCG(*seed, 2))
	rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			if err := faults[name](w); err != nil {
				t.Error(err)
			}
			if err := w.AwaitHealthy(HealthyWait); err != nil {
				t.Fatal(err)
			}
		})
	}
	checkEvidence(t, w.Finish())
}

// checkEvidence fails the test for each violation, and if the evidence is too
// small to show any.
func checkEvidence(t *testing.T, e Evidence) {
	t.Helper()
	counts := make(map[string]int)
	for _, result := range e.Results {
		counts[string(result.Outcome)]++
		if result.isComplete() {
			counts["whole"]++
		}
	}
	t.Logf("seed %d: %d requests with outcomes %v, %d non-idempotent requests ran, %d status samples", *seed, len(e.Results), counts, len(e.Runs), len(e.Samples))
	if counts["whole"] == 0 || len(e.Runs) == 0 || len(e.Stops) == 0 || len(e.LeavingChecks) < 2 {
		t.Error("the run recorded too little to check the guarantees")
	}
	for i, v := range Check(e) {
		if i == maxShown {
			t.Error("further violations omitted")
			break
		}
		t.Error(v)
	}
}

// showLogs prints the end of each daemon's log if the test failed and is verbose.
func showLogs(t *testing.T, w *World) {
	t.Helper()
	const end = 3000
	if !t.Failed() || !testing.Verbose() {
		return
	}
	for _, name := range w.Fleet.Names() {
		data, err := os.ReadFile(w.Fleet.LogPath(name))
		t.Logf("log of %s: %v\n%s", name, err, data[max(0, len(data)-end):])
	}
}
