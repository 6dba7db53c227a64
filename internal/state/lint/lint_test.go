package lint

import (
	"slices"
	"testing"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/model"
	"siskinswitch.example/siskin/internal/state/rules"
)

// newRoute returns a sound route to the service s.
func newRoute(name, prefix string) Route {
	return Route{
		Route: model.Route{
			Name:     name,
			Prefix:   prefix,
			Attempts: 2,
			Timeout:  900,
			Services: []model.WeightedService{
				{
					Service: "s",
					Weight:  1,
				},
			},
		},
		Kind: "safe",
	}
}

// newDraft returns a draft without a problem.
func newDraft() Draft {
	return Draft{
		Version: 7,
		Limits: model.Limits{
			MaxHeader:   1,
			MaxBody:     1,
			ReadTimeout: 1,
			IdleTimeout: 1,
		},
		Hosts: []Host{
			{
				Name:   "h",
				Routes: []Route{newRoute("a", "/a"), newRoute("b", "/a/b")},
			},
		},
		Services: []model.Service{
			{
				Name: "s",
			},
		},
		HasAccounts: true,
		Accounts: []Account{
			{
				Account: acct.Account{
					Name: "hut",
					Rate: 5,
				},
				Keys: []Digest{DigestOf("k1"), DigestOf("k2")},
			},
		},
	}
}

// route returns the first route of the draft.
func (d *Draft) route() *Route { return &d.Hosts[0].Routes[0] }

// Guards against an entry that can never match, or a limit that contradicts another, of
// which the operator learns when callers are refused.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		spoil    func(d *Draft)
		errors   []string
		warnings []string
	}{
		"sound": {
			spoil: func(*Draft) {},
		},
		"the same prefix on another host": {
			spoil: func(d *Draft) {
				d.Hosts = append(d.Hosts, Host{
					Name:   "i",
					Routes: []Route{newRoute("a", "/a")},
				})
			},
		},
		"duplicate prefix": {
			spoil: func(d *Draft) { d.Hosts[0].Routes = append(d.Hosts[0].Routes, newRoute("c", "/a")) },
			warnings: []string{
				`host h, route c: can never match: route a of the same host has the prefix "/a", too, and comes first`,
			},
		},
		"host listed twice with the same prefix": {
			spoil: func(d *Draft) {
				d.Hosts = append(d.Hosts, Host{
					Name:   "h",
					Routes: []Route{newRoute("c", "/a")},
				})
			},
			warnings: []string{
				"host h: listed twice; its routes are taken together",
				`host h, route c: can never match: route a of the same host has the prefix "/a", too, and comes first`,
			},
		},
		"prefix without a slash": {
			spoil:    func(d *Draft) { d.route().Prefix = "a" },
			warnings: []string{`host h, route a: can never match: the prefix "a" does not begin with a slash`},
		},
		"prefix with a query": {
			spoil:    func(d *Draft) { d.route().Prefix = "/a?b" },
			warnings: []string{`host h, route a: can never match: the prefix "/a?b" has a character that no path has`},
		},
		"empty prefix, which matches all": {
			spoil: func(d *Draft) { d.route().Prefix = "" },
		},
		"host without a route, and a service that none uses": {
			spoil: func(d *Draft) { d.Hosts[0].Routes = nil },
			warnings: []string{
				"host h: has no route",
				"service s: no route uses it",
			},
		},
		"no host": {
			spoil: func(d *Draft) { d.Hosts, d.Services = nil, nil },
			warnings: []string{
				"there is no host, so no request has a route",
			},
		},
		"service that is not listed": {
			spoil:    func(d *Draft) { d.Services = nil },
			warnings: []string{"host h, route a: uses service s, which is not listed"},
		},
		"service listed twice": {
			spoil:    func(d *Draft) { d.Services = append(d.Services, d.Services[0]) },
			warnings: []string{"service s: listed twice; the last entry counts"},
		},
		"weight of 0": {
			spoil: func(d *Draft) {
				d.Services = append(d.Services, model.Service{
					Name: "u",
				})
				d.route().Services = append(d.route().Services, model.WeightedService{
					Service: "u",
				})
			},
			warnings: []string{"host h, route a: service u has the weight 0"},
		},
		"no weight at all": {
			spoil:    func(d *Draft) { d.route().Services[0].Weight = 0 },
			warnings: []string{"host h, route a: all weights are 0, so service s gets all requests"},
		},
		"goal above the time-out": {
			spoil:    func(d *Draft) { d.route().LatencyGoal = 901 },
			warnings: []string{"host h, route a: the latency goal of 901 ms is above the time-out of 900 ms"},
		},
		"goal without a time-out": {
			spoil: func(d *Draft) { d.route().LatencyGoal, d.route().Timeout = 901, 0 },
		},
		"attempts of a once-only route": {
			spoil:    func(d *Draft) { d.route().AtMostOnce, d.route().Kind = true, "upload" },
			warnings: []string{"host h, route a: 2 attempts can never be used: requests of the kind upload run at most once"},
		},
		"public without accounts": {
			spoil: func(d *Draft) {
				d.route().Public = true
				d.HasAccounts, d.Accounts = false, nil
			},
			warnings: []string{"host h, route a: is public, but no accounts are listed, so no caller needs a key"},
		},
		"no limits": {
			spoil: func(d *Draft) { d.Limits = model.Limits{} },
			warnings: []string{
				"limits: the longest header is 0 bytes",
				"limits: the longest body is 0 bytes, so each request with a body is refused",
				"limits: the time for a header is 0 ms, so each header that does not arrive at once is cut",
				"limits: the idle time-out is 0 ms, so connections are closed before their first request",
			},
		},
		"empty list of accounts": {
			spoil:    func(d *Draft) { d.Accounts = nil },
			warnings: []string{"the list of accounts is empty, so only public routes can be used"},
		},
		"burst without a rate": {
			spoil:    func(d *Draft) { d.Accounts[0].Rate, d.Accounts[0].Burst = 0, 20 },
			warnings: []string{"account hut: a burst of 20 without a rate has no effect"},
		},
		"rate far below 1": {
			spoil:    func(d *Draft) { d.Accounts[0].Rate = 0.005 },
			warnings: []string{"account hut: a rate of 0.005 requests a second lets in one in 200 s"},
		},
		"account without a key": {
			spoil:    func(d *Draft) { d.Accounts[0].Keys = nil },
			warnings: []string{"account hut: has no key, so nobody can use it"},
		},
		"faulty accounts": {
			spoil: func(d *Draft) {
				d.Accounts = append(d.Accounts, d.Accounts[0], Account{
					Keys: []Digest{DigestOf("")},
				})
			},
			errors: []string{
				"account hut is listed twice",
				"account hut: key 0 is also a key of account hut",
				"account hut: key 1 is also a key of account hut",
				"account 2 has no name",
				"account 2: key 0 is empty",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDraft()
			tt.spoil(&d)
			report := Check(&d)
			if got := textsOf(report.Errors); !slices.Equal(got, tt.errors) {
				t.Errorf("errors %q, want %q", got, tt.errors)
			}
			if got := textsOf(report.Warnings); !slices.Equal(got, tt.warnings) {
				t.Errorf("warnings %q, want %q", got, tt.warnings)
			}
		})
	}
}

func textsOf(problems []rules.Problem) []string {
	texts := make([]string, 0, len(problems))
	for _, p := range problems {
		texts = append(texts, p.String())
	}
	return texts
}

// Guards against a change that the operator does not see before it is in force. Those
// that may refuse callers are marked with "!".
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		change func(d *Draft)
		want   []string
	}{
		"nothing": {
			change: func(*Draft) {},
		},
		"routes added and removed": {
			change: func(d *Draft) { d.Hosts[0].Routes[0] = newRoute("c", "/c") },
			want: []string{
				`! host h, route a: removed, with the prefix "/a"`,
				`host h, route c: added: safe, prefix "/c", to s`,
			},
		},
		"order of routes": {
			change: func(d *Draft) { slices.Reverse(d.Hosts[0].Routes) },
		},
		"each field of a route": {
			change: func(d *Draft) {
				r := d.route()
				r.Prefix, r.Kind, r.AtMostOnce = "/z", "unsafe", true
				r.Timeout, r.LatencyGoal, r.Attempts, r.Priority, r.Public = 800, 300, 1, 2, true
				r.Services = append(r.Services, model.WeightedService{
					Service: "u",
					Weight:  3,
				})
			},
			want: []string{
				"! host h, route a: prefix: /a to /z",
				"! host h, route a: kind: safe to unsafe",
				"host h, route a: services: s to s (weight 1), u (weight 3)",
				"host h, route a: time-out: 900 ms to 800 ms",
				"host h, route a: latency goal: 0 ms to 300 ms",
				"host h, route a: attempts: 2 to 1",
				"host h, route a: priority: 0 to 2",
				"host h, route a: public: false to true",
			},
		},
		"limits": {
			change: func(d *Draft) {
				d.Limits = model.Limits{
					MaxHeader:   2,
					ReadTimeout: 2,
					IdleTimeout: 2,
				}
			},
			want: []string{
				"limits: longest header in bytes: 1 to 2",
				"! limits: longest body in bytes: 1 to 0",
				"limits: time for a header: 1 ms to 2 ms",
				"limits: idle time-out: 1 ms to 2 ms",
			},
		},
		"services": {
			change: func(d *Draft) {
				d.Services[0].Name = "u"
			},
			want: []string{
				"service u: added",
				"! service s: removed",
			},
		},
		"an account replaced": {
			change: func(d *Draft) { d.Accounts[0].Name = "guide" },
			want: []string{
				"account guide: added, with 2 keys and a rate of 5",
				"! account hut: removed, with 2 keys",
			},
		},
		"each field of an account": {
			change: func(d *Draft) {
				a := &d.Accounts[0]
				a.Keys = []Digest{DigestOf("k2"), DigestOf("k3"), DigestOf("k4")}
				a.Priority, a.HasPriority, a.Rate, a.Burst = 1, true, 4, 9
			},
			want: []string{
				"! account hut: keys withdrawn: 1 of 2",
				"account hut: keys added: 2",
				"account hut: priority: that of the route to 1",
				"! account hut: rate a second: 5 to 4",
				"account hut: burst: 0 to 9",
			},
		},
		"no rate": {
			change: func(d *Draft) { d.Accounts[0].Rate = 0 },
			want:   []string{"account hut: rate a second: 5 to no limit"},
		},
		"no accounts": {
			change: func(d *Draft) { d.HasAccounts, d.Accounts = false, nil },
			want: []string{
				"! accounts are no longer listed, so that callers need no key",
				"! account hut: removed, with 2 keys",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before, after := newDraft(), newDraft()
			tt.change(&after)
			changes := Compare(&before, &after)
			got := make([]string, 0, len(changes))
			for _, c := range changes {
				text := rules.Problem{
					Path: c.Path,
					Text: c.Text,
				}.String()
				if c.Warn {
					text = "! " + text
				}
				got = append(got, text)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("changes %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a version that daemons would not take.
func TestCheckVersion(t *testing.T) {
	for version, want := range map[uint64]int{
		6: 1,
		7: 1,
		8: 0,
	} {
		before, after := newDraft(), newDraft()
		after.Version = version
		if got := CheckVersion(&before, &after); len(got) != want {
			t.Errorf("version %d: %v, want %d problems", version, got, want)
		}
	}
}
