package main

import "time"

// quietMinute: requests that may not be repeated, after a minute without any. It breaks
// no rule and is no case; REPORT.md tells what it shows.
func quietMinute(w *world, _ bool) (int, error) {
	if err := w.addHosts("huvo11a", "huvo11a", "wuno96b", "wuno96b"); err != nil {
		return notRun, err
	}
	w.usual(7, "huvo11a", "wuno96b")
	if err := w.start(); err != nil {
		return notRun, err
	}
	time.Sleep(stableTime)
	failed := 0
	for round := range 2 {
		for _, h := range w.hosts {
			k, err := dialClient(h.outbound(), 0)
			if err != nil {
				return notRun, err
			}
			r := k.ask("POST", unsafeHost, unsafePath+"2f", limit, 1200, nil)
			k.close()
			w.say("round %d, from %s: %v, run by %q", round+1, h.name, r, w.serviceOf(r.id))
			if r.status == 502 && w.serviceOf(r.id) == "" {
				failed++
			}
		}
		if round == 0 {
			time.Sleep(53 * time.Second)
		}
	}
	w.say("%d requests were answered 502 and never reached an instance", failed)
	if failed > 0 {
		return broken, nil
	}
	return held, nil
}
