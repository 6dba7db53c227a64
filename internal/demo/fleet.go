package demo

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"siskinswitch.example/siskin/internal/daemon"
	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	// readyTimeout bounds the wait until all daemons serve.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// seedPeerCount is the number of peers in the settings of each daemon.
	seedPeerCount = 4
	// usualInstances is a capacity hint: the usual number of instances.
	usualInstances = 16
	// fleetKey is the key that all daemons of a run share.
	fleetKey = "siskindemo fleet key, loopback only"
)

// fleet is a running deployment under one system.
type fleet struct {
	deployment Deployment
	system     System
	set        *rules.Set
	log        *zap.Logger

	store      *fakes.Store
	roster     *fakes.Roster
	targets    map[string]*fakes.Target
	daemons    []*daemon.Daemon
	forwarders []*forwarder
}

// startFleet starts all parts of a deployment and waits until they serve. On an
// error it stops those that already run.
func startFleet(d Deployment, system System, seed uint64, log *zap.Logger) (*fleet, error) {
	f := &fleet{
		deployment: d,
		system:     system,
		log:        log,
		targets:    make(map[string]*fakes.Target),
	}
	if err := f.start(seed); err != nil {
		f.stop()
		return nil, &Error{
			Op:   "start " + d.Name + " under " + system.String(),
			Kind: StartFailed,
			Err:  err,
		}
	}
	return f, nil
}

func (f *fleet) start(seed uint64) error {
	doc, err := config.Decode(f.deployment.Document)
	if err != nil {
		return err
	}
	data := config.Encode(assignHosts(doc))
	if f.set, err = config.Parse(data); err != nil {
		return err
	}
	if err := f.startTargets(seed); err != nil {
		return err
	}
	if f.system != Siskin {
		return f.startForwarders()
	}
	if err := f.startPlatform(data); err != nil {
		return err
	}
	if err := f.startDaemons(); err != nil {
		return err
	}
	return f.waitReady()
}

// instances returns all instances in the order of their services.
func (f *fleet) instances() []*rules.Target {
	all := make([]*rules.Target, 0, usualInstances)
	for _, service := range f.set.Services() {
		all = append(all, f.set.Targets(service)...)
	}
	return all
}

// entries returns the addresses of the entry points.
func (f *fleet) entries() []string {
	all := f.instances()
	addrs := make([]string, 0, len(all))
	for _, t := range all {
		addrs = append(addrs, address(t, t.Outbound))
	}
	return addrs
}

func address(t *rules.Target, port int) string {
	return net.JoinHostPort(t.Host, strconv.Itoa(port))
}

func targetAddr(t *rules.Target) string { return address(t, t.Inbound+targetPortOffset) }

func (f *fleet) startTargets(seed uint64) error {
	for i, t := range f.instances() {
		target, err := fakes.NewTarget(fakes.TargetConfig{
			Addr:       targetAddr(t),
			Name:       t.Name,
			Slots:      t.Slots,
			Conns:      t.Conns,
			Operations: f.operations(t.Service),
			Outbound:   address(t, t.Outbound),
			Seed:       seed + uint64(i),
		})
		if err != nil {
			return err
		}
		f.targets[t.Name] = target
	}
	return nil
}

// operations returns how the targets of a service serve its operations. Targets
// count the runs of all operations, idempotent ones included, so that each
// outcome not-run can be verified.
func (f *fleet) operations(service string) map[string]fakes.Operation {
	ops := make(map[string]fakes.Operation)
	for path, duration := range f.deployment.ServiceTimes {
		op, ok := f.set.Op(path)
		if !ok || op.Service != service {
			continue
		}
		ops[path] = fakes.Operation{
			ServiceTime: duration,
			Jitter:      serviceJitter,
			Calls:       op.Calls,
			AtMostOnce:  true,
		}
	}
	return ops
}

func (f *fleet) startForwarders() error {
	limits := make(map[string][]*targetLimit)
	for _, t := range f.instances() {
		limit := &targetLimit{
			addr: targetAddr(t),
		}
		if f.system == StaticLimit {
			limit.max = int64(t.Slots)
		}
		limits[t.Service] = append(limits[t.Service], limit)
	}
	regions := hostRegionsOf(f.set)
	for _, t := range f.instances() {
		fw := newForwarder(f.set, limits, regions, t.Region)
		if err := fw.listen(address(t, t.Outbound)); err != nil {
			return err
		}
		f.forwarders = append(f.forwarders, fw)
	}
	return nil
}

func (f *fleet) startPlatform(data []byte) error {
	var err error
	if f.store, err = fakes.NewStore(fakes.StoreConfig{}); err != nil {
		return err
	}
	f.store.Publish(data)
	if f.roster, err = fakes.NewRoster(fakes.RosterConfig{}); err != nil {
		return err
	}
	var hosts []fakes.Host
	for _, t := range f.instances() {
		hosts = append(hosts, fakes.Host{
			Name: t.Name,
			Addr: t.Host,
		})
	}
	f.roster.Set(hosts)
	return nil
}

func (f *fleet) startDaemons() error {
	all := f.instances()
	peers := make([]string, 0, len(all))
	for _, t := range all {
		peers = append(peers, address(t, t.Control))
	}
	regions := hostRegionsOf(f.set)
	for i, t := range all {
		settings := f.settings(t, seedsOf(peers, i))
		if err := settings.Check(); err != nil {
			return err
		}
		d, err := daemon.New(daemon.Config{
			Settings: settings,
			Clock:    clock.System(),
			Log:      f.log.Named(t.Name),
			Connect:  regions.connector(t.Region),
		})
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	return nil
}

// seedsOf returns the seed peers of the i-th daemon, spread evenly over the
// other peers.
func seedsOf(peers []string, i int) []string {
	seeds := make([]string, 0, seedPeerCount)
	for n := 1; n <= seedPeerCount; n++ {
		peer := peers[(i+n*len(peers)/(seedPeerCount+1))%len(peers)]
		if peer != peers[i] && !slices.Contains(seeds, peer) {
			seeds = append(seeds, peer)
		}
	}
	return seeds
}

func (f *fleet) settings(t *rules.Target, peers []string) daemon.Settings {
	return daemon.Settings{
		Name:     t.Name,
		Region:   t.Region,
		Centre:   t.Centre,
		Host:     t.Host,
		Inbound:  t.Inbound,
		Outbound: t.Outbound,
		Control:  t.Control,
		Operator: t.Operator,
		Target:   targetAddr(t),
		Slots:    t.Slots,
		Conns:    t.Conns,
		Store:    f.store.Addr(),
		Roster:   f.roster.Addr(),
		Keys:     []string{hex.EncodeToString([]byte(fleetKey))},
		Peers:    peers,
	}.WithDefaults()
}

// waitReady waits until every daemon reports that it is ready.
func (f *fleet) waitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, t := range f.instances() {
		for !isReady(address(t, t.Operator)) {
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", t.Name, errNotReady)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

var errNotReady = errors.New("the daemon did not become ready")

func isReady(addr string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+addr+"/ready", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// setSlow slows the slow service down or restores its speed.
func (f *fleet) setSlow(on bool) {
	speed := 1.0
	if on {
		speed = 1.0 / slowFactor
	}
	for _, t := range f.set.Targets(f.deployment.SlowService) {
		f.targets[t.Name].SetSpeed(speed)
	}
}

// totals returns the sums of the counters of all targets.
func (f *fleet) totals() Totals {
	sum := Totals{}
	for _, t := range f.targets {
		c := t.Counts()
		sum.Arrivals += c.Arrivals
		sum.Completed += c.Completed
		sum.Refused += c.Refused
		sum.Cancelled += c.Cancelled
		sum.Failed += c.Failed
		sum.Crossed += c.Crossed
	}
	return sum
}

// runs returns how often the targets started each request, by operation and key.
func (f *fleet) runs() Runs {
	runs := make(Runs)
	for path := range f.deployment.ServiceTimes {
		runs[path] = make(map[string]int)
		for _, t := range f.targets {
			for key, r := range t.Runs(path) {
				runs[path][key] += r.Started
			}
		}
	}
	return runs
}

// stop stops the daemons or forwarders first, gracefully, so that requests in
// flight complete, and then the targets and the platform. The counters of the
// targets stay readable.
func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		wg.Go(d.Stop)
	}
	for _, fw := range f.forwarders {
		wg.Go(fw.close)
	}
	wg.Wait()
	for _, t := range f.targets {
		wg.Go(func() { _ = t.Close() })
	}
	wg.Wait()
	if f.store != nil {
		_ = f.store.Close()
	}
	if f.roster != nil {
		_ = f.roster.Close()
	}
}
