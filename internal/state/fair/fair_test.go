package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"siskinswitch.example/siskin/internal/state/acct"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// fleetLoad is a load on the daemons of a deployment, of which each sees few requests.
type fleetLoad struct {
	daemons int
	// rates are the requests a second of each account, and limits their rate limits.
	rates  []float64
	limits []float64
	// entries is the number of daemons that the callers of the first account use; 0
	// means all.
	entries int
	// silent drops all statements. restart empties a tenth of the daemons at half time.
	silent  bool
	restart bool
	// capacity is the requests a second that are served.
	capacity float64
}

func name(i int) string { return fmt.Sprint("account-", i) }

func tableOf(t testing.TB, n int, limits []float64) *acct.Accounts {
	entries := make([]acct.Entry, n)
	for i := range entries {
		entries[i] = acct.Entry{
			Account: acct.Account{
				Name: name(i),
			},
			Keys: []string{fmt.Sprint("key-", i)},
		}
		if limits != nil {
			entries[i].Account.Rate = limits[i]
		}
	}
	a, err := acct.New(entries)
	if err != nil {
		t.Fatal(err)
	}
	return &a
}

// served returns the share of each account's requests that passes the threshold of the
// capacity, and that of all. Each daemon exchanges statements 20 times a second, as it
// does with more than that many calls a second.
func (l fleetLoad) served(t testing.TB) (shares []float64, all float64) {
	const (
		length = 30 * clock.Second
		from   = 15 * clock.Second
		step   = 10 * clock.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	accounts := tableOf(t, len(l.rates), l.limits)
	rankers := make([]*Ranker, l.daemons)
	fresh := func(now clock.Milli) *Ranker {
		r := New()
		r.SetAccounts(now, accounts)
		return r
	}
	for i := range rankers {
		rankers[i] = fresh(0)
	}
	total := 0.0
	for _, rate := range l.rates {
		total += rate
	}
	share := l.capacity / total
	orders := make([][]uint64, len(l.rates))
	var statements []Statement
	for now := clock.Milli(1); now < length; now += step {
		if l.restart && now > (from+length)/2 && now <= (from+length)/2+step {
			for i := range l.daemons / 10 {
				rankers[i] = fresh(now)
			}
		}
		for i, rate := range l.rates {
			entries := l.daemons
			if i == 0 && l.entries > 0 {
				entries = l.entries
			}
			for range poisson(random, rate*float64(step)/float64(clock.Second)) {
				order := rankers[random.IntN(entries)].Order(now, name(i), rules.Normal, random.Uint64())
				if now >= from {
					orders[i] = append(orders[i], order)
				}
			}
		}
		for _, r := range rankers {
			statements = r.Statements(now, statements[:0])
			for _, s := range statements {
				if other := rankers[random.IntN(l.daemons)]; !l.silent && other != r {
					other.Learn(now, s)
				}
			}
		}
	}
	return passing(orders, share)
}

// passing returns the shares that pass the threshold at which a share of all passes.
func passing(orders [][]uint64, share float64) (shares []float64, all float64) {
	low, high := uint64(0), uint64(math.MaxUint64)
	for range 64 {
		middle := low + (high-low)/2
		shares, all = make([]float64, len(orders)), 0
		sum := 0
		for i, list := range orders {
			for _, order := range list {
				if order >= middle {
					shares[i]++
					all++
				}
			}
			shares[i] /= float64(max(len(list), 1))
			sum += len(list)
		}
		all /= float64(sum)
		if all > share {
			low = middle
		} else {
			high = middle
		}
	}
	return shares, all
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for limit := random.ExpFloat64(); limit < mean; limit += random.ExpFloat64() {
		n++
	}
	return n
}

// usual returns the rates of n accounts whose sizes have the skew, with the given sum.
func usual(n int, skew, sum float64) []float64 {
	rates := make([]float64, n)
	total := 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -skew)
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= sum / total
	}
	return rates
}

func mean(shares, rates []float64) float64 {
	sum, total := 0.0, 0.0
	for i := range shares {
		sum += shares[i] * rates[i]
		total += rates[i]
	}
	return sum / total
}

// Guards against an account at 9 times its usual rate that costs calm accounts their
// place, and against one that is shut out (load: 75 accounts at 66 daemons, twice the
// capacity).
func TestHotAccountCostsCalmOnesNothing(t *testing.T) {
	const demand = 1400
	limits := usual(75, 1.2, demand*1.6)
	tests := map[string]struct {
		skew   float64
		limits []float64
		hot    int
		change func(*fleetLoad)
	}{
		"equal sizes": {
			hot: 0,
		},
		"equal sizes, one entry": {
			hot:    0,
			change: func(l *fleetLoad) { l.entries = 1 },
		},
		"skewed sizes without limits": {
			skew: 1.2,
			hot:  20,
		},
		"skewed sizes and limits": {
			skew:   1.2,
			limits: limits,
			hot:    20,
		},
		"skewed sizes and limits, a tenth of the daemons restart": {
			skew:   1.2,
			limits: limits,
			hot:    20,
			change: func(l *fleetLoad) { l.restart = true },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			load := fleetLoad{
				daemons:  66,
				rates:    usual(75, tt.skew, demand),
				limits:   tt.limits,
				capacity: demand / 2,
			}
			if tt.change != nil {
				tt.change(&load)
			}
			calmRates := append([]float64(nil), load.rates...)
			calmRates[tt.hot] = 0
			without, _ := load.served(t)
			load.rates[tt.hot] *= 9
			with, all := load.served(t)
			before, after := mean(without, calmRates), mean(with, calmRates)
			t.Logf("calm %.4f without, %.4f with; hot %.4f of %.4f", before, after, with[tt.hot], all)
			if math.Abs(after-before) > 0.02 {
				t.Errorf("calm accounts are served %.4f, without the hot one %.4f", after, before)
			}
			for i, share := range with {
				if share < all/4 {
					t.Errorf("account %d at %.2f/s is served %.4f, all %.4f", i, load.rates[i], share, all)
				}
			}
		})
	}
}

// Guards against statements that don't help: without them each daemon knows only the
// few arrivals that it sees.
func TestStatementsHelp(t *testing.T) {
	load := fleetLoad{
		daemons:  66,
		rates:    usual(75, 0, 1400),
		entries:  1,
		capacity: 700,
	}
	load.rates[0] *= 9
	with, _ := load.served(t)
	load.silent = true
	without, _ := load.served(t)
	t.Logf("hot account at one entry: %.3f with statements, %.3f without", with[0], without[0])
	if with[0] > 0.25 || without[0] < with[0]*1.3 {
		t.Errorf("the hot account is served %.3f with statements, %.3f without", with[0], without[0])
	}
}

// Guards against an order that differs from today's where no account tells requests
// apart, and against log lines that are sampled differently.
func TestOrder(t *testing.T) {
	const hash = 0x8123456789abcdef
	r := New()
	if got := r.Order(1, "a", rules.Normal, hash); got != hash {
		t.Errorf("without accounts the order is %x", got)
	}
	r.SetAccounts(1, tableOf(t, 3, nil))
	if got := r.Order(1, "no account", rules.Normal, hash); got != hash {
		t.Errorf("for an unknown account the order is %x", got)
	}
	if got := r.Order(1, name(0), rules.Normal, hash); got != hash {
		t.Errorf("without known demand the order is %x", got)
	}
	for now := clock.Milli(2); now < 4000; now++ {
		for i := range 3 {
			r.Order(now, name(i), rules.Normal, hash)
		}
	}
	for _, h := range []uint64{0, 1, hash, math.MaxUint64} {
		got := r.Order(4000, name(1), rules.Normal, h)
		if diff := math.Abs(float64(got)-float64(h)) / math.MaxUint64; diff > 0.01 || got%64 != h%64 {
			t.Errorf("with equal demands the order of %x is %x", h, got)
		}
	}
}

// Guards against statements that move an estimate without bound.
func TestLearnIgnores(t *testing.T) {
	r := New()
	r.SetAccounts(0, tableOf(t, 1, nil))
	key := r.all[rules.Normal].key
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		if r.Learn(1, Statement{
			Key:  key,
			Rate: rate,
		}) {
			t.Errorf("a rate of %f is adopted", rate)
		}
	}
	if r.Learn(1, Statement{
		Key:  key + 1000,
		Rate: 1,
	}) {
		t.Error("an unknown account is adopted")
	}
	if got := r.all[rules.Normal].estimate; got != 0 {
		t.Errorf("estimate %f", got)
	}
}

// benchRanker returns a ranker that knows the demand of n accounts, and their names.
func benchRanker(t testing.TB, n int) (*Ranker, []string) {
	r := New()
	r.SetAccounts(1, tableOf(t, n, nil))
	names := make([]string, n)
	for i := range names {
		names[i] = name(i)
		r.Order(1, names[i], rules.Normal, 1)
	}
	return r, names
}

func benchOrder(n int) func(*testing.B) {
	return func(b *testing.B) {
		r, names := benchRanker(b, n)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			// 200 requests a second.
			r.Order(1+clock.Milli(i*5), names[i%n], rules.Normal, uint64(i)<<40)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{75, 1000} {
		b.Run(fmt.Sprint(n), benchOrder(n))
	}
}

// Guards against a decision that costs more than the number of accounts explains, and
// against allocation on the request path.
func TestOrderCost(t *testing.T) {
	r, names := benchRanker(t, 1000)
	var statements []Statement
	now := clock.Milli(1)
	allocs := testing.AllocsPerRun(2000, func() {
		now += 5
		r.Order(now, names[int(now)%len(names)], rules.Normal, uint64(now)<<40)
		statements = r.Statements(now, statements[:0])
	})
	if allocs > 0 {
		t.Errorf("%.2f allocations", allocs)
	}
	small, large := testing.Benchmark(benchOrder(75)), testing.Benchmark(benchOrder(1000))
	if ratio := float64(large.NsPerOp()) / float64(small.NsPerOp()); ratio > 1000/75*2 {
		t.Errorf("with 1,000 accounts an order takes %.1f times as long as with 75", ratio)
	}
}
