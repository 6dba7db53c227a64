// Package lint judges a configuration of the users' platform before it is sent.
//
// A [Draft] is the configuration as it is written: in its order and with what the model
// merges or drops, such as a host that is listed twice. [Check] lists what is wrong with
// a draft: errors, with which daemons refuse it, and warnings about what they take but
// what is hardly meant, such as a route that can never match. [Compare] lists what a
// draft changes over the one in force.
//
// The package does no I/O, starts no goroutine and reads no clock. Drafts hold digests
// in place of keys, so that no report can have one.
package lint

import (
	"crypto/sha256"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
)

// Draft is one version of a configuration as it is written.
type Draft struct {
	Version  uint64
	Limits   model.Limits
	Hosts    []Host
	Services []model.Service
	// HasAccounts says that client accounts are listed, so that callers need a key.
	HasAccounts bool
	Accounts    []Account
}

// Host is one entry of a virtual host.
type Host struct {
	Name   string
	Routes []Route
}

// Route is one route of a host.
type Route struct {
	model.Route
	// Kind is the kind of the route as it is written.
	Kind string
}

// Account is one client account.
type Account struct {
	acct.Account
	Keys []Digest
}

// Digest stands for a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Report is the result of [Check]. Both lists are in the order of the draft. The path of
// a problem names the host, route, service or account, for example "host h, route r".
type Report struct {
	// Errors are what daemons refuse a configuration for.
	Errors []rules.Problem
	// Warnings are what daemons take but what is hardly meant.
	Warnings []rules.Problem
}

func hostPath(host string) string { return "host " + host }

func routePath(host, route string) string { return hostPath(host) + ", route " + route }

func servicePath(service string) string { return "service " + service }

func accountPath(account string) string { return "account " + account }

// limitsPath is the path of the limits for callers.
const limitsPath = "limits"
