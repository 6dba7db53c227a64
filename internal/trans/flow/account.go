package flow

import (
	"github.com/valyala/fasthttp"

	"siskinswitch.example/siskin/internal/proto/event"
	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/guard"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/trans/http1"
	"siskinswitch.example/siskin/pkg/clock"
)

// staleRetryAfter is the Retry-After of requests whose key cannot be judged, because
// the configuration may be outdated.
const staleRetryAfter = 500 * clock.Millisecond

// identity is the client account of a request.
type identity struct {
	// account is nil if the request belongs to none.
	account *acct.Account
	// isCall says that the request is a call of the host's own target, which
	// belongs to the account of its parent and carries no key.
	isCall bool
}

// isCaller reports whether the request with the id, whose parent is not known, is a
// caller's. A call that has lost its parent carries no key, and an id of a call's form.
func (w identity) isCaller(id string) bool { return w.account != nil || !isCallID(id) }

// denial says why a request was not let in.
type denial struct {
	end    string
	reason string
	answer guard.Answer
}

// identify returns the client account of a request, or why it must not run. It does
// not look at keys where no client accounts are in force.
func (o *Outbound) identify(r *http1.Request, id string, route *model.Route, v *model.View, parent *Parent) (identity, *denial) {
	accounts := &v.Config.Accounts
	switch {
	case !accounts.InForce():
		return identity{}, nil
	case parent != nil:
		account, _ := accounts.ByName(parent.Account)
		return identity{
			account: account,
			isCall:  true,
		}, nil
	case route.Public:
		return identity{}, nil
	}
	if !o.cfg.IsTrusted() {
		return identity{}, o.stale(id, "the keys known here may be outdated")
	}
	key := singleValue(r.Fields, o.cfg.Headers.Key)
	account, ok := accounts.ByKey(key)
	if !ok && key == "" && isCallID(id) {
		// The target still works on a request that has ended here, or that began
		// before this daemon did.
		const reason = "the parent of the call has ended"
		return identity{}, &denial{
			end:    event.EndDenied,
			reason: reason,
			answer: o.cfg.refusal(id, reason, minRetryAfter),
		}
	}
	if !ok && key != "" && o.cfg.IsBehind() {
		return identity{}, o.stale(id, "unknown key, and a newer configuration may have it")
	}
	if !ok {
		return identity{}, &denial{
			end:    event.EndDenied,
			reason: "unknown key",
			answer: o.cfg.plainAnswer(id, fasthttp.StatusUnauthorized, "unknown key"),
		}
	}
	return identity{
		account: account,
	}, nil
}

// stale returns the denial of a request whose key cannot be judged now.
func (o *Outbound) stale(id, reason string) *denial {
	return &denial{
		end:    event.EndStale,
		reason: reason,
		answer: o.cfg.refusal(id, reason, staleRetryAfter),
	}
}

// singleValue returns the value of the only field with the name, "" if there is none
// or more than one. Of several keys none counts, because their order could be changed
// on the way.
func singleValue(fields []guard.Field, name string) string {
	value := ""
	seen := false
	for i := range fields {
		if fields[i].Name != name {
			continue
		}
		if seen {
			return ""
		}
		seen = true
		value = fields[i].Value
	}
	return value
}

// setIdentity returns a copy of fields with the fields that the daemon sets itself:
// the caller's service and, where client accounts are in force, the account in place
// of the key.
func (o *Outbound) setIdentity(fields []guard.Field, v *model.View, who identity) []guard.Field {
	h := &o.cfg.Headers
	fields = http1.WithField(fields, h.Caller, o.cfg.Self.Service)
	if !v.Config.Accounts.InForce() {
		return fields
	}
	fields = http1.WithoutField(fields, h.Key)
	if who.account == nil {
		return http1.WithoutField(fields, h.Account)
	}
	return http1.WithField(fields, h.Account, who.account.Name)
}
