package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"siskinswitch.example/siskin/internal/daemon"
	"siskinswitch.example/siskin/internal/fakes"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

const (
	fakesFile       = "fakes.json"
	documentFile    = "published.json"
	settingsSuffix  = ".settings.json"
	keyBytes        = 32
	dirMode         = 0o700
	fileMode        = 0o600
	lastPort        = 65_535
	platformPort    = 7001
	defaultWorkTime = 20 * clock.Millisecond
	longWorkFactor  = 20
	serviceJitter   = 0.25
)

// fleetCommand writes the settings that are needed to run the fleet of a document
// on one host.
type fleetCommand struct {
	dir      string
	workTime int64
}

// Name returns the name of the command.
func (*fleetCommand) Name() string { return "fleet" }

// Synopsis returns the command's line in the list of commands.
func (*fleetCommand) Synopsis() string {
	return "write settings of stand-ins and daemons for every instance of a document"
}

// Usage returns how the command is called.
func (*fleetCommand) Usage() string {
	return `siskinfake fleet [-dir DIR] [-work MS] DOCUMENT
  Writes into DIR, which it makes if need be:
    published.json          the document, for the configuration service to publish
    fakes.json              settings for 'siskinfake run': the configuration
                            service, the list of hosts and a target for each instance
    INSTANCE.settings.json  settings for 'siskind -settings', one for each instance
  Every host in the document must be a loopback address. Each target takes the
  first port behind those of its daemon that is free in the document. The fleet
  gets a new key. Work takes MS milliseconds, and twenty times that for long
  operations.
  Exit code 0 if all was written, 1 if it could not be, 2 for wrong usage.

  Example: siskinfake fleet -dir fleet examples/armor.json
`
}

// SetFlags adds the flags.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "fleet", "`directory` to write to")
	f.Int64Var(&c.workTime, "work", int64(defaultWorkTime), "`milliseconds` that an operation takes")
}

// Execute writes the files.
func (c *fleetCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("fleet", "one document is needed")
	}
	if c.workTime < 1 || c.workTime > int64(clock.Minute) {
		return usageError("fleet", "-work is %d; it must be from 1 to %d", c.workTime, clock.Minute)
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return failure(err)
	}
	set, err := config.Parse(data)
	if err != nil {
		return failure(fmt.Errorf("%s: %w", f.Arg(0), err))
	}
	l, err := newLocalFleet(set.Document(), clock.Milli(c.workTime))
	if err != nil {
		return failure(fmt.Errorf("%s: %w", f.Arg(0), err))
	}
	if err := l.write(c.dir, data); err != nil {
		return failure(err)
	}
	fmt.Printf("%d daemons and their stand-ins, in %s\n", len(l.daemons), c.dir)
	return subcommands.ExitSuccess
}

// localFleet holds the settings of the fakes and daemons of a document, all on
// one host.
type localFleet struct {
	fakes   settings
	daemons []daemon.Settings

	used     map[string]bool
	workTime clock.Milli
	key      string
}

// newLocalFleet returns settings for every instance of a valid document, with a
// new random key. It fails if a host is not a loopback address.
func newLocalFleet(doc rules.Document, workTime clock.Milli) (*localFleet, error) {
	key := make([]byte, keyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	l := &localFleet{
		used:     usedAddrs(doc),
		workTime: workTime,
		key:      hex.EncodeToString(key),
	}
	l.addPlatform(doc.Services[0].Instances[0].Host)
	for _, s := range doc.Services {
		for _, i := range s.Instances {
			if err := l.addInstance(s, i); err != nil {
				return nil, err
			}
		}
	}
	return l, nil
}

// usedAddrs returns the addresses that the daemons of a document listen on.
func usedAddrs(doc rules.Document) map[string]bool {
	used := make(map[string]bool)
	for _, s := range doc.Services {
		for _, i := range s.Instances {
			for _, port := range []int{i.Inbound, i.Outbound, i.Control, i.Operator} {
				used[addrOf(i.Host, port)] = true
			}
		}
	}
	return used
}

func addrOf(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// freeAddr reserves the first unused port of a host from port upwards, and
// returns its address.
func (l *localFleet) freeAddr(host string, port int) string {
	for l.used[addrOf(host, port)] && port < lastPort {
		port++
	}
	addr := addrOf(host, port)
	l.used[addr] = true
	return addr
}

// addPlatform adds a configuration service and a list of hosts.
func (l *localFleet) addPlatform(host string) {
	l.fakes.Store = &storeSettings{
		Addr: l.freeAddr(host, platformPort),
	}
	l.fakes.Roster = &rosterSettings{
		Addr: l.freeAddr(host, platformPort),
	}
}

// addInstance adds the target and the daemon of an instance.
func (l *localFleet) addInstance(s rules.Service, i rules.Instance) error {
	if ip := net.ParseIP(i.Host); !ip.IsLoopback() {
		return fmt.Errorf("%s has host %s; it must be a loopback address such as 127.0.0.1", i.Name, i.Host)
	}
	target := l.freeAddr(i.Host, min(i.Operator+1, lastPort))
	l.fakes.Roster.Hosts = append(l.fakes.Roster.Hosts, fakes.Host{
		Name: i.Name,
		Addr: i.Host,
	})
	l.fakes.Targets = append(l.fakes.Targets, targetSettings{
		Addr:       target,
		Name:       i.Name,
		Slots:      i.Slots,
		Conns:      i.Conns,
		Operations: l.operations(s),
		Outbound:   addrOf(i.Host, i.Outbound),
		Seed:       uint64(len(l.fakes.Targets) + 1),
	})
	d := l.daemonSettings(i, target)
	l.daemons = append(l.daemons, d)
	return d.Check()
}

func (l *localFleet) operations(s rules.Service) map[string]fakes.Operation {
	operations := make(map[string]fakes.Operation)
	for _, op := range s.Operations {
		workTime := l.workTime
		if op.Cost == rules.Long {
			workTime *= longWorkFactor
		}
		operations[s.Name+"/"+op.Name] = fakes.Operation{
			ServiceTime: workTime,
			Jitter:      serviceJitter,
			Calls:       op.Calls,
			AtMostOnce:  op.AtMostOnce,
		}
	}
	return operations
}

func (l *localFleet) daemonSettings(i rules.Instance, target string) daemon.Settings {
	region, centre, _ := strings.Cut(i.Place, "/")
	return daemon.Settings{
		Name:     i.Name,
		Region:   region,
		Centre:   centre,
		Host:     i.Host,
		Inbound:  i.Inbound,
		Outbound: i.Outbound,
		Control:  i.Control,
		Operator: i.Operator,
		Target:   target,
		Slots:    i.Slots,
		Conns:    i.Conns,
		Store:    l.fakes.Store.Addr,
		Roster:   l.fakes.Roster.Addr,
		Keys:     []string{l.key},
	}.WithDefaults()
}

// write writes all files into dir. The document is written byte for byte, because
// its next version contains the digest of these bytes.
func (l *localFleet) write(dir string, document []byte) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	l.fakes.Store.File = filepath.Join(dir, documentFile)
	if err := os.WriteFile(l.fakes.Store.File, document, fileMode); err != nil {
		return err
	}
	for _, d := range l.daemons {
		if err := writeJSON(filepath.Join(dir, d.Name+settingsSuffix), d); err != nil {
			return err
		}
	}
	return writeJSON(filepath.Join(dir, fakesFile), l.fakes)
}

// writeJSON replaces the file at path atomically, so that a program that watches
// it never reads a partial file.
func writeJSON(path string, v any) error {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, b.Bytes(), fileMode); err != nil {
		return err
	}
	return os.Rename(next, path)
}
