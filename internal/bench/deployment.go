package bench

import (
	"fmt"

	"siskinswitch.example/siskin/internal/state/rules"
	"siskinswitch.example/siskin/pkg/clock"
)

// Service is a service of a deployment. Its targets all have the same size.
type Service struct {
	Name  string
	Slots int
	Conns int
}

// Operation is an operation that calls at most one other operation.
type Operation struct {
	Path    string
	Service int
	// OwnTime is the mean time that the target itself takes, without downstream
	// calls.
	OwnTime clock.Milli
	// Calls is the downstream operation, nil if there is none.
	Calls *Operation
	// CallCount is the number of sequential calls to Calls; 0 means one.
	CallCount int
	Cost      rules.Cost
}

// deepest returns the operation at the end of the chain of o, and how often one
// request of o calls it.
func (o *Operation) deepest() (last *Operation, times int) {
	last, times = o, 1
	for last.Calls != nil {
		times *= max(1, last.CallCount)
		last = last.Calls
	}
	return last, times
}

// Stream is a part of the load: root requests to one operation with one
// importance.
type Stream struct {
	Op         *Operation
	Importance rules.Importance
	// Share is the stream's part of the demand, in percent.
	Share int
}

// Deployment is a set of services in two regions with two centres each, and its
// load.
type Deployment struct {
	Name     string
	Services []Service
	Streams  []Stream
	// PerCentre is the number of targets of each service in each centre.
	PerCentre int
	// DeepService is the index of the service at the end of the longest call
	// chains.
	DeepService int
	// Demand is the number of root requests per second outside disturbances.
	Demand int
	// RegionLatency, CrossRegionLatency and CallerLatency are one-way latencies
	// in microseconds: between centres of a region, between regions, and between
	// callers and daemons.
	RegionLatency, CrossRegionLatency, CallerLatency int64
	// Learns says that the configuration asks for one decision at the entry for the
	// whole chain of calls.
	Learns bool
	// LongOp is the operation that long requests call.
	LongOp *Operation
}

// Xaalis returns the deployment of the Consortium Xaalis Ndaw.
func Xaalis() Deployment {
	settle := &Operation{
		Path:    "payment/settle",
		Service: 3,
		OwnTime: 40,
	}
	post := &Operation{
		Path:    "ledger/post",
		Service: 1,
		OwnTime: 5,
		Calls:   settle,
	}
	read := &Operation{
		Path:    "ledger/read",
		Service: 1,
		OwnTime: 5,
	}
	pay := &Operation{
		Path:    "balance/pay",
		Service: 0,
		OwnTime: 5,
		Calls:   post,
	}
	buy := &Operation{
		Path:    "merchant/buy",
		Service: 2,
		OwnTime: 5,
		Calls:   post,
	}
	check := &Operation{
		Path:    "balance/check",
		Service: 0,
		OwnTime: 5,
		Calls:   read,
	}
	return Deployment{
		Name:               "Xaalis Ndaw",
		Services:           services([]string{"balance", "ledger", "merchant", "payment"}, 130, 900, 30, 300),
		Streams:            streams(pay, buy, check),
		PerCentre:          1,
		DeepService:        3,
		Demand:             2570,
		RegionLatency:      1000,
		CrossRegionLatency: 20_000,
		CallerLatency:      10_000,
		LongOp: &Operation{
			Path:    "ledger/reconcile",
			Service: 1,
			OwnTime: 3000,
			Cost:    rules.Long,
		},
	}
}

// Armor returns the deployment of the Pièces Ferroviaires Armor.
func Armor() Deployment {
	assign := &Operation{
		Path:    "workshop/assign",
		Service: 3,
		OwnTime: 40,
	}
	reserve := &Operation{
		Path:    "stock/reserve",
		Service: 1,
		OwnTime: 5,
		Calls:   assign,
	}
	read := &Operation{
		Path:    "stock/read",
		Service: 1,
		OwnTime: 5,
	}
	order := &Operation{
		Path:    "catalogue/order",
		Service: 0,
		OwnTime: 5,
		Calls:   reserve,
	}
	plan := &Operation{
		Path:    "planning/plan",
		Service: 2,
		OwnTime: 5,
		Calls:   reserve,
	}
	look := &Operation{
		Path:    "catalogue/look",
		Service: 0,
		OwnTime: 5,
		Calls:   read,
	}
	return Deployment{
		Name:               "Armor",
		Services:           services([]string{"catalogue", "stock", "planning", "workshop"}, 55, 430, 12, 170),
		Streams:            streams(order, plan, look),
		PerCentre:          1,
		DeepService:        3,
		Demand:             1028,
		RegionLatency:      500,
		CrossRegionLatency: 20_000,
		CallerLatency:      1000,
		LongOp: &Operation{
			Path:    "stock/count",
			Service: 1,
			OwnTime: 3000,
			Cost:    rules.Long,
		},
	}
}

// SparseEntries returns a deployment of 96 daemons of which each sees few
// requests: chains of four hops that call the deepest service four times, the
// most important ones eight times.
func SparseEntries() Deployment {
	deep := &Operation{
		Path:    "payment/status",
		Service: 3,
		OwnTime: 8,
	}
	chain := func(prefix string, deepCalls int) *Operation {
		post := &Operation{
			Path:      "ledger/" + prefix,
			Service:   2,
			OwnTime:   10,
			Calls:     deep,
			CallCount: deepCalls,
		}
		move := &Operation{
			Path:    "transfer/" + prefix,
			Service: 1,
			OwnTime: 10,
			Calls:   post,
		}
		return &Operation{
			Path:    "balance/" + prefix,
			Service: 0,
			OwnTime: 20,
			Calls:   move,
		}
	}
	transfer, enquiry := chain("transfer", 8), chain("enquiry", 4)
	return Deployment{
		Name:     "sparse entries",
		Services: services([]string{"balance", "transfer", "ledger", "payment"}, 66, 630, 2, 630),
		Streams: []Stream{
			{
				Op:         transfer,
				Importance: rules.Vital,
				Share:      25,
			},
			{
				Op:         enquiry,
				Importance: rules.Normal,
				Share:      75,
			},
		},
		PerCentre:          6,
		DeepService:        3,
		Demand:             1400,
		RegionLatency:      500,
		CrossRegionLatency: 20_000,
		CallerLatency:      3000,
		Learns:             true,
		LongOp: &Operation{
			Path:    "ledger/reconcile",
			Service: 2,
			OwnTime: 3000,
			Cost:    rules.Long,
		},
	}
}

// EightCalls returns [SparseEntries] with eight calls to the deepest service for
// every request.
func EightCalls() Deployment {
	d := SparseEntries()
	d.Name = "eight calls"
	for i := range d.Streams {
		d.Streams[i].Op = d.Streams[0].Op
	}
	return d
}

// Scaled returns d with n times the targets and n times the demand.
func Scaled(d Deployment, n int) Deployment {
	d.Name += fmt.Sprintf(", %d targets", len(d.Services)*centres*n)
	d.PerCentre *= n
	d.Demand *= n
	return d
}

// WithTwoDeepCalls returns d with the deepest operation called twice per
// request and taking half the time, so that a request needs a slot there twice
// to succeed. It changes the operations of d in place.
func WithTwoDeepCalls(d Deployment) Deployment {
	d.Name += ", twice"
	for _, stream := range d.Streams {
		for op := stream.Op; op.Calls != nil; op = op.Calls {
			if op.Calls.Service == d.DeepService && op.CallCount == 0 {
				op.CallCount = 2
				op.Calls.OwnTime /= 2
			}
		}
	}
	return d
}

// services returns services of equal size except for the last, which has
// deepSlots and deepConns.
func services(names []string, slots, conns, deepSlots, deepConns int) []Service {
	all := make([]Service, len(names))
	for i, name := range names {
		all[i] = Service{
			Name:  name,
			Slots: slots,
			Conns: conns,
		}
	}
	last := &all[len(all)-1]
	last.Slots = deepSlots
	last.Conns = deepConns
	return all
}

// streams returns the load: 70% of the requests reach the deepest service.
func streams(vital, bulk, shallow *Operation) []Stream {
	return []Stream{
		{
			Op:         vital,
			Importance: rules.Vital,
			Share:      7,
		},
		{
			Op:         vital,
			Importance: rules.High,
			Share:      13,
		},
		{
			Op:         bulk,
			Importance: rules.Normal,
			Share:      40,
		},
		{
			Op:         bulk,
			Importance: rules.Spare,
			Share:      10,
		},
		{
			Op:         shallow,
			Importance: rules.Normal,
			Share:      30,
		},
	}
}
