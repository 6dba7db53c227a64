package demo

import (
	"strings"

	sample "siskinswitch.example/siskin/examples"
	"siskinswitch.example/siskin/internal/load"
	"siskinswitch.example/siskin/internal/proto/config"
	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Stream is a share of a plant's load.
type Stream struct {
	// Path is "service/operation".
	Path   string
	Caller string
	// Weight is the share among all weights.
	Weight int
}

// Deployment is a deployment with its load.
type Deployment struct {
	Name string
	// Document is the inventory and rules.
	Document []byte
	// ServiceTimes is what the operations take at their own target.
	ServiceTimes map[string]clock.Milli
	Streams      []Stream
	// Rate is the calm demand in calls a second, Surge the factor of the crest.
	Rate  float64
	Surge float64
	// SlowService is the service that runs at a third of its speed in the crest.
	SlowService string
}

// slowFactor is the factor on the service times of the slow service.
const slowFactor = 3

// serviceJitter spreads service times by this share to both sides.
const serviceJitter = 0.25

// Xaalis is the shared pocket-money platform at the school gate: the ledger,
// which nearly all calls end in, slows while demand rises.
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

// Armor is the stores of spare parts at the morning shift change: the
// catalogue, which every chain of calls ends in, slows while demand rises.
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

// Token returns the bearer token of a caller of the example documents.
func Token(caller string) string { return "demo-" + caller }

// calls turns the streams into calls for the generator.
func (p Deployment) calls(set *rules.Set) []load.Call {
	calls := make([]load.Call, 0, len(p.Streams))
	for _, s := range p.Streams {
		if c, ok := load.CallOf(set, s.Path, Token(s.Caller), s.Weight); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// SlotUse returns the share of each service's slots that the load takes, were all
// of it served: demand is the factor on the calm rate, slow that on the times
// of the slow service. A request holds its slot during its deeper calls.
func (p Deployment) SlotUse(demand, slowdown float64) (map[string]float64, error) {
	set, err := config.Parse(p.Document)
	if err != nil {
		return nil, err
	}
	weights := 0
	for _, s := range p.Streams {
		weights += s.Weight
	}
	use := make(map[string]float64)
	for _, s := range p.Streams {
		rate := p.Rate * demand * float64(s.Weight) / float64(weights)
		p.addSlotUse(load.CallTreeOf(set, s.Path), rate, slowdown, use)
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

// addSlotUse adds the slots that rate calls of s take, and returns one call's length
// in seconds.
func (p Deployment) addSlotUse(tree *load.CallTree, rate, slowdown float64, use map[string]float64) float64 {
	service, _, _ := strings.Cut(tree.Path, "/")
	length := float64(p.ServiceTimes[tree.Path]) / float64(clock.Second)
	if service == p.SlowService {
		length *= slowdown
	}
	for _, child := range tree.Calls {
		length += p.addSlotUse(child, rate, slowdown, use)
	}
	use[service] += rate * length
	return length
}
