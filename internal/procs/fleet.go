package procs

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinswitch.example/siskin/internal/daemon"
	"siskinswitch.example/siskin/internal/proto/admin"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	fleetKey = "000102030405060708090a0b0c0d0e0f"
	// readyPoll is the interval of reads of a daemon's status in AwaitStatus.
	readyPoll = 50 * time.Millisecond
)

var errUnknownName = errors.New("no such instance")

// FleetConfig configures a [Fleet].
type FleetConfig struct {
	// Program is the path of siskind.
	Program string
	// Dir is the directory for settings and logs. It must exist.
	Dir string
	// Document lists the instances. Their hosts must be loopback addresses.
	Document rules.Document
	// Store and Roster are the "ip:port" of the fakes of the platform.
	Store  string
	Roster string
	// EditSettings changes the settings of an instance before they are written; nil
	// leaves them unchanged.
	EditSettings func(*daemon.Settings)
}

// Fleet is a set of daemons that run as processes, one for each instance of a
// document. It is safe for concurrent use.
type Fleet struct {
	cfg   FleetConfig
	hosts map[string]string
	names []string

	mu      sync.Mutex
	running map[string]*Process
	closed  bool
}

// NewFleet writes the settings of all instances. It starts no process.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		cfg:     cfg,
		hosts:   make(map[string]string),
		running: make(map[string]*Process),
	}
	for _, s := range cfg.Document.Services {
		for _, i := range s.Instances {
			if err := f.add(i); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) add(i rules.Instance) error {
	region, centre, _ := strings.Cut(i.Place, "/")
	settings := daemon.Settings{
		Name:     i.Name,
		Region:   region,
		Centre:   centre,
		Host:     i.Host,
		Inbound:  i.Inbound,
		Outbound: i.Outbound,
		Control:  i.Control,
		Operator: i.Operator,
		Target:   addr(i.Host, targetPort),
		Slots:    i.Slots,
		Conns:    i.Conns,
		Store:    f.cfg.Store,
		Roster:   f.cfg.Roster,
		Keys:     []string{fleetKey},
		Grace:    10 * clock.Second,
		Log:      "info",
	}.WithDefaults()
	if f.cfg.EditSettings != nil {
		f.cfg.EditSettings(&settings)
	}
	if err := settings.Check(); err != nil {
		return fail("write settings", Start, err)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fail("write settings", Start, err)
	}
	if err := os.WriteFile(f.path(i.Name, "json"), data, 0o600); err != nil {
		return fail("write settings", Start, err)
	}
	f.hosts[i.Name] = i.Host
	f.names = append(f.names, i.Name)
	return nil
}

func (f *Fleet) path(name, kind string) string {
	return filepath.Join(f.cfg.Dir, name+"."+kind)
}

func addr(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// Names returns the names of the instances in the order of the document.
func (f *Fleet) Names() []string { return slices.Clone(f.names) }

// Outbound returns the "ip:port" at which a daemon accepts requests of callers.
func (f *Fleet) Outbound(name string) string { return addr(f.hosts[name], outboundPort) }

// LogPath returns the path of the log of an instance. All processes of the
// instance append to it.
func (f *Fleet) LogPath(name string) string { return f.path(name, "log") }

// Start starts the daemon of an instance. Its previous process must have ended.
func (f *Fleet) Start(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts[name] == "" || f.closed {
		return fail("start "+name, Start, errUnknownName)
	}
	p, err := startProcess(f.cfg.Program, f.LogPath(name), "-settings", f.path(name, "json"))
	if err != nil {
		return err
	}
	f.running[name] = p
	return nil
}

// StartAll starts the daemons of all instances.
func (f *Fleet) StartAll() error {
	for _, name := range f.names {
		if err := f.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// Process returns the newest process of an instance, or nil before its first
// start.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

// Signal sends a signal to the daemon of an instance.
func (f *Fleet) Signal(name string, sig syscall.Signal) error {
	p := f.Process(name)
	if p == nil {
		return fail("signal "+name, Start, errUnknownName)
	}
	return p.Signal(sig)
}

// Kill kills the daemon of an instance and waits for its end.
func (f *Fleet) Kill(name string) {
	if p := f.Process(name); p != nil {
		p.kill()
	}
}

// Status reads the status of the daemon of an instance.
func (f *Fleet) Status(name string) (admin.Status, error) {
	var s admin.Status
	err := f.getReport(name, admin.PathStatus, &s)
	return s, err
}

// ConfigHistory reads which configurations were in force at the daemon of an
// instance, and when.
func (f *Fleet) ConfigHistory(name string) (admin.ConfigHistory, error) {
	var r admin.ConfigHistory
	err := f.getReport(name, admin.PathRecord, &r)
	return r, err
}

// AwaitStatus waits until holds has returned true for the status of every named
// daemon. After wait it returns an [*Error] of kind [Timeout] that names a daemon
// for which it has not.
func (f *Fleet) AwaitStatus(names []string, wait clock.Milli, holds func(admin.Status) bool) error {
	end := time.Now().Add(wait.Duration())
	for _, name := range names {
		for {
			s, err := f.Status(name)
			if err == nil && holds(s) {
				break
			}
			if time.Now().After(end) {
				return fail("await status", Timeout, fmt.Errorf("%s after %d ms: %+v, %w", name, wait, s, err))
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Close kills all daemons. None can be started afterwards.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.running {
		p.kill()
	}
}
