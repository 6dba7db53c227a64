// Package acct identifies the client account that a request belongs to.
//
// An account has any number of keys. A caller names its account by sending one
// of them. [Accounts] is the immutable table of one version of the
// configuration; [Freshness] decides whether that version is recent enough to
// let a key in, because a key that was withdrawn in a newer version must be
// refused within a bound, also by a daemon that cannot read the store.
//
// The package does no I/O, starts no goroutine and reads no clock. Keys never
// appear in its errors.
package acct

import (
	"crypto/sha256"
	"fmt"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the usage cap in requests a second over all daemons, and Burst the
	// number of requests that may be saved up. A Rate of 0 means no cap.
	Rate  float64
	Burst float64
}

// IsCapped reports whether the account has a usage cap.
func (a *Account) IsCapped() bool { return a.Rate > 0 }

// Entry is an account with its keys, as the configuration lists it.
type Entry struct {
	Account Account
	Keys    []string
}

// Accounts is an immutable table of client accounts. The zero value is not in
// force: callers need no key.
type Accounts struct {
	inForce bool
	byName  map[string]*Account
	// byDigest maps the digests of keys to their accounts. A look-up by digest
	// takes the same time however much of a key is right.
	byDigest map[[sha256.Size]byte]*Account
}

// New returns the table of the entries, which is in force even if there are
// none. The error is an [*Error] that names the entry but no key.
func New(entries []Entry) (Accounts, error) {
	a := Accounts{
		inForce:  true,
		byName:   make(map[string]*Account, len(entries)),
		byDigest: make(map[[sha256.Size]byte]*Account, len(entries)),
	}
	for i := range entries {
		if err := a.add(i, entries[i]); err != nil {
			return Accounts{}, err
		}
	}
	return a, nil
}

// add adds the entry at the position.
func (a *Accounts) add(position int, e Entry) error {
	account := e.Account
	if account.Name == "" {
		return newError(Unnamed, fmt.Errorf("account %d has no name", position))
	}
	if _, ok := a.byName[account.Name]; ok {
		return newError(DuplicateName, fmt.Errorf("account %s is listed twice", account.Name))
	}
	a.byName[account.Name] = &account
	for i, key := range e.Keys {
		if key == "" {
			return newError(EmptyKey, fmt.Errorf("account %s: key %d is empty", account.Name, i))
		}
		digest := sha256.Sum256([]byte(key))
		if other, ok := a.byDigest[digest]; ok {
			return newError(DuplicateKey, fmt.Errorf("account %s: key %d is also a key of account %s", account.Name, i, other.Name))
		}
		a.byDigest[digest] = &account
	}
	return nil
}

// InForce reports whether callers need a key.
func (a *Accounts) InForce() bool { return a.inForce }

// ByKey returns the account that holds the key, and false if none does. The key
// must be exactly as the configuration has it.
func (a *Accounts) ByKey(key string) (*Account, bool) {
	found, ok := a.byDigest[sha256.Sum256([]byte(key))]
	return found, ok
}

// ByName returns the account with the name, and false if there is none.
func (a *Accounts) ByName(name string) (*Account, bool) {
	found, ok := a.byName[name]
	return found, ok
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byName) }

// Names returns the names of all accounts, in no order.
func (a *Accounts) Names() []string {
	names := make([]string, 0, len(a.byName))
	for name := range a.byName {
		names = append(names, name)
	}
	return names
}
