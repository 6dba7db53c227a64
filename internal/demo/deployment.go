package demo

import (
	"strings"

	sample "siskinswitch.example/siskin/examples"
	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Stream is a part of a deployment's load: calls of one caller to one
// operation.
type Stream struct {
	// Path is "service/operation".
	Path   string
	Caller string
	// Weight is the stream's share of the load, relative to the sum of the
	// weights of all streams.
	Weight int
}

// Deployment is an example deployment with its load.
type Deployment struct {
	Name string
	// Document holds the inventory and the rules.
	Document []byte
	// ServiceTimes are the mean times that operations, by path, take at their
	// own target, without downstream calls.
	ServiceTimes map[string]clock.Milli
	Streams      []Stream
	// Rate is the normal demand in calls per second. Surge is the factor on it
	// during the crest.
	Rate  float64
	Surge float64
	// SlowService is the service whose speed is divided by slowFactor during
	// the crest.
	SlowService string
}

// slowFactor multiplies the service times of the slow service during the crest.
const slowFactor = 3

// serviceJitter is the maximum random deviation of a service time in either
// direction, as a fraction of it.
const serviceJitter = 0.25

// Xaalis returns the shared pocket-money platform at the school gate. Nearly all
// calls end in the ledger, which becomes slow while the demand rises.
func Xaalis() Deployment {
	return Deployment{
		Name:     "xaalis",
		Document: sample.Xaalis,
		ServiceTimes: map[string]clock.Milli{
			"balance/read":     20,
			"balance/hold":     20,
			"balance/fund":     20,
			"ledger/read":      130,
			"ledger/post":      150,
			"ledger/reconcile": 1000,
			"merchant/read":    15,
			"merchant/notify":  20,
			"merchant/settle":  1000,
			"payment/pay":      40,
			"payment/refund":   40,
			"payment/status":   150,
		},
		Streams: []Stream{
			{
				Path:   "payment/pay",
				Caller: "shop-tilene",
				Weight: 4,
			},
			{
				Path:   "payment/status",
				Caller: "shop-escale",
				Weight: 26,
			},
			{
				Path:   "payment/refund",
				Caller: "shop-tilene",
				Weight: 2,
			},
			{
				Path:   "balance/read",
				Caller: "wallet-jamm",
				Weight: 38,
			},
			{
				Path:   "balance/fund",
				Caller: "wallet-teranga",
				Weight: 4,
			},
			{
				Path:   "merchant/read",
				Caller: "wallet-teranga",
				Weight: 13,
			},
			{
				Path:   "balance/read",
				Caller: "back-office",
				Weight: 12,
			},
			{
				Path:   "ledger/reconcile",
				Caller: "back-office",
				Weight: 1,
			},
		},
		Rate:        500,
		Surge:       4,
		SlowService: "ledger",
	}
}

// Armor returns the spare parts stores at the morning shift change. Every chain
// of calls ends in the catalogue, which becomes slow while the demand rises.
func Armor() Deployment {
	return Deployment{
		Name:     "armor",
		Document: sample.Armor,
		ServiceTimes: map[string]clock.Milli{
			"catalogue/find":      15,
			"catalogue/read":      100,
			"stock/check":         20,
			"stock/hold":          20,
			"stock/move":          20,
			"stock/count":         2000,
			"reservation/reserve": 30,
			"reservation/cancel":  20,
			"reservation/read":    20,
			"workshop/assign":     90,
			"workshop/plan":       60,
		},
		Streams: []Stream{
			{
				Path:   "reservation/reserve",
				Caller: "foreman-desk",
				Weight: 5,
			},
			{
				Path:   "reservation/cancel",
				Caller: "foreman-desk",
				Weight: 4,
			},
			{
				Path:   "reservation/read",
				Caller: "planner-desk",
				Weight: 15,
			},
			{
				Path:   "stock/check",
				Caller: "planner-desk",
				Weight: 30,
			},
			{
				Path:   "catalogue/find",
				Caller: "stores-office",
				Weight: 25,
			},
			{
				Path:   "workshop/plan",
				Caller: "planner-desk",
				Weight: 20,
			},
			{
				Path:   "stock/count",
				Caller: "stores-office",
				Weight: 1,
			},
		},
		Rate:        500,
		Surge:       3,
		SlowService: "catalogue",
	}
}

// Token returns the bearer token of a caller in the example documents.
func Token(caller string) string { return "demo-" + caller }

// calls converts the streams into calls for the load generator.
func (d Deployment) calls(set *rules.Set) []load.Call {
	calls := make([]load.Call, 0, len(d.Streams))
	for _, s := range d.Streams {
		if c, ok := load.CallOf(set, s.Path, Token(s.Caller), s.Weight); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// SlotUse returns, for each service, the fraction of its slots that the load
// would occupy if all of it were served. The factor demand multiplies the normal
// rate, and slowdown the service times of the slow service. A request occupies
// its slot during its downstream calls as well.
func (d Deployment) SlotUse(demand, slowdown float64) (map[string]float64, error) {
	set, err := config.Parse(d.Document)
	if err != nil {
		return nil, err
	}
	weights := 0
	for _, s := range d.Streams {
		weights += s.Weight
	}
	use := make(map[string]float64)
	for _, s := range d.Streams {
		rate := d.Rate * demand * float64(s.Weight) / float64(weights)
		d.addSlotUse(load.CallTreeOf(set, s.Path), rate, slowdown, use)
	}
	for _, service := range set.Services() {
		slots := 0
		for _, t := range set.Targets(service) {
			slots += t.Slots
		}
		use[service] /= float64(slots)
	}
	return use, nil
}

// addSlotUse adds to use the slots that calls of tree at the given rate per
// second occupy. It returns the duration of one call in seconds.
func (d Deployment) addSlotUse(tree *load.CallTree, rate, slowdown float64, use map[string]float64) float64 {
	service, _, _ := strings.Cut(tree.Path, "/")
	length := float64(d.ServiceTimes[tree.Path]) / float64(clock.Second)
	if service == d.SlowService {
		length *= slowdown
	}
	for _, child := range tree.Calls {
		length += d.addSlotUse(child, rate, slowdown, use)
	}
	use[service] += rate * length
	return length
}
