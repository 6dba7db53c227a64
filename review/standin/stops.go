package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Services of the site armor-rail and their routes here.
const (
	catalogue, ordering, stores, workshop = "huvo11a", "wuno96b", "kafi81c", "lovo22d"
	stockHost, stockPath                  = "hulo84.example", "/stock/"
	binPath, auditPath                    = "/bin/", "/audit/"
)

// sent is a request, where it was sent and when.
type sent struct {
	result
	from *host
	at   time.Time
}

// stopsInTurn: the machines are stopped in turn while they are in use.
func stopsInTurn(w *world, trouble bool) (int, error) {
	const gap = 1300 * time.Millisecond
	for _, service := range []string{catalogue, ordering, stores, workshop} {
		if err := w.addHosts(service, service, service, service); err != nil {
			return notRun, err
		}
	}
	w.putConfig(7, []rule{
		{host: stockHost, prefix: stockPath, kind: "safe", service: stores, timeout: 2000, attempts: 2, priority: 2},
		{host: stockHost, prefix: binPath, kind: "safe", service: stores, attempts: 2, priority: 2},
		{host: stockHost, prefix: auditPath, kind: "safe", service: workshop, attempts: 2, priority: 2},
	}, map[string]int{catalogue: 484, ordering: 484, stores: 484, workshop: 184})
	for _, h := range w.hosts {
		h.inst.work = func(path string) time.Duration {
			if path == stockPath+"long" {
				return 1900 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		if h.service == stores {
			h.inst.call = func(path, id string) bool { return path != binPath+"x" || w.audit(h, id) }
		}
	}
	if err := w.start(); err != nil {
		return notRun, err
	}
	// All four services have a machine in each zone: those of the first zone are
	// hosts 0, 4, 8 and 12.
	a, b := w.hosts[0], w.hosts[8]
	time.Sleep(stableTime)
	done := make(chan struct{})
	var traffic sync.WaitGroup
	for _, h := range w.hosts {
		traffic.Go(func() { h.watchReadiness(done) })
		traffic.Go(func() { w.lookUp(h, done) })
	}
	time.Sleep(stableTime)
	began := time.Now()
	stopped := make(map[*host]time.Time)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []sent
	// Two other machines, of other zones, are stopped between those two.
	for i, h := range []*host{b, w.hosts[13], w.hosts[6], w.hosts[3], a} {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
			if !trouble {
				return
			}
			mu.Lock()
			stopped[h] = time.Now()
			mu.Unlock()
			w.say("%s gets SIGTERM", h.name)
			h.signal(syscall.SIGTERM)
			select {
			case <-h.exited:
				w.say("%s has ended, %.3f s after its SIGTERM", h.name, time.Since(stopped[h]).Seconds())
			case <-time.After(6 * time.Second):
				w.say("%s gets SIGKILL", h.name)
				h.signal(syscall.SIGKILL)
				<-h.exited
			}
			time.Sleep(300 * time.Millisecond)
			if err := w.startDaemon(h); err != nil {
				w.say("%s can't be started: %v", h.name, err)
			}
		})
	}
	// Clients of a ask for stock, 10 a second, long work among it.
	for n := range 60 {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(n) * 100 * time.Millisecond)))
			if a.isLeft() {
				return
			}
			k, err := dialClient(a.outbound(), 0)
			if err != nil {
				return
			}
			defer k.close()
			s := sent{from: a, at: time.Now()}
			s.result = k.ask("GET", stockHost, stockPath+"long", 4*time.Second, 0, nil)
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
		})
	}
	wg.Wait()
	close(done)
	traffic.Wait()
	return w.judgeStops(all, stopped[a], began)
}

// judgeStops counts the requests that were broken off at work after the SIGTERM of
// the machine that took them, and answered by the system in the instance's place.
func (w *world) judgeStops(all []sent, term, began time.Time) (int, error) {
	given := 0
	for _, s := range all {
		w.say("sent to %s at %.3f s: %v", s.from.name, s.at.Sub(began).Seconds(), s.result)
		for _, n := range w.instances() {
			n.mu.Lock()
			cut, ok := n.cutAt[s.id]
			n.mu.Unlock()
			if !ok {
				continue
			}
			end := s.at.Add(s.took)
			w.say("  its run at %s was cut at %.3f s, %.3f s after it was sent", n.id, cut.Sub(began).Seconds(), cut.Sub(s.at).Seconds())
			isTimeout := s.took >= 1990*time.Millisecond
			if s.status != 200 && !isTimeout && !term.IsZero() && end.After(term) {
				given++
				w.say("  and the client got %d, %.3f s after the SIGTERM of %s, before its route's timeout", s.status, end.Sub(term).Seconds(), s.from.name)
			}
		}
	}
	w.say("%d requests; %d of them were broken off at work after a SIGTERM and answered in the instance's place", len(all), given)
	if len(all) < 40 {
		return notRun, fmt.Errorf("only %d requests were sent", len(all))
	}
	if given > 0 {
		return broken, nil
	}
	return held, nil
}

// audit is the call of an instance of stores, through the daemon beside it.
func (w *world) audit(h *host, parent string) bool {
	k, err := dialClient(h.outbound(), 0)
	if err != nil {
		return false
	}
	defer k.close()
	return k.askAs(parent+"."+newID(), "GET", stockHost, auditPath+"x", 700*time.Millisecond, 0, nil).status == 200
}

// watchReadiness asks for the readiness of h once a second, until done. After two
// misses the clients of h get no new work until it is ready again.
func (h *host) watchReadiness(done <-chan struct{}) {
	misses := int32(0)
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		misses++
		if h.ready() {
			misses = 0
		}
		h.misses.Store(misses)
	}
}

// isLeft reports whether the clients of h get no new work. Of the four machines of a
// zone at most two are stopped here, so half of them stay in.
func (h *host) isLeft() bool { return h.misses.Load() >= 2 }

// lookUp sends 5 requests a second from h for shelves, for which instances make a
// call, until done.
func (w *world) lookUp(h *host, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		if h.isLeft() {
			continue
		}
		go func() {
			k, err := dialClient(h.outbound(), 0)
			if err != nil {
				return
			}
			defer k.close()
			k.ask("GET", stockHost, binPath+"x", 2500*time.Millisecond, 0, nil)
		}()
	}
}
