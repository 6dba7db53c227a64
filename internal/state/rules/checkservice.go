package rules

import (
	"fmt"
	"net/netip"
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

func (c *checker) checkServices() {
	if len(c.doc.Services) == 0 {
		c.add("services", "at least one service is needed")
	}
	for n, service := range c.doc.Services {
		c.checkService(path("services").at(n), service)
	}
}

func (c *checker) checkService(at path, service Service) {
	c.checkName(at.key("name"), "service", service.Name)
	if strings.TrimSpace(service.Owner) == "" || len(service.Owner) > MaxAuthorBytes {
		c.add(at.key("owner"), "service %q needs an owner of 1 to %d bytes", service.Name, MaxAuthorBytes)
	}
	if len(service.Operations) == 0 {
		c.add(at.key("operations"), "service %q needs at least one operation", service.Name)
	}
	for n, operation := range service.Operations {
		c.checkOperation(at.key("operations").at(n), service.Name, operation)
	}
	if len(service.Instances) == 0 {
		c.add(at.key("instances"), "service %q needs at least one instance", service.Name)
	}
	for n, instance := range service.Instances {
		c.checkInstance(at.key("instances").at(n), instance)
	}
}

func (c *checker) checkOperation(at path, service string, operation Operation) {
	c.checkName(at.key("name"), "operation of "+service, operation.Name)
	if !operation.Importance.IsValid() {
		c.add(at.key("importance"), "%s is not an importance level", operation.Importance)
	}
	if !operation.Cost.IsValid() {
		c.add(at.key("cost"), "%s is not a cost class", operation.Cost)
	}
	c.checkRange(at.key("deadline"), int64(operation.Deadline), 1, int64(MaxDeadline/clock.Millisecond))
	name := service + "/" + operation.Name
	if operation.AtMostOnce && operation.Hedge {
		c.add(at.key("hedge"), "%s is once-only, and a hedge would run it twice", name)
	}
	c.checkCalls(at.key("calls"), name, operation)
}

// checkCalls checks each call that the operation lists. Each call is checked on
// its own, so that every operation of a faulty chain is reported.
func (c *checker) checkCalls(at path, name string, operation Operation) {
	seen := make(map[string]bool, len(operation.Calls))
	for n, call := range operation.Calls {
		p := at.at(n)
		callee, ok := c.graph.ops[call]
		switch {
		case !ok:
			c.add(p, "no operation is called %.130q", call)
			continue
		case seen[call]:
			c.add(p, "%s lists %s twice", name, call)
			continue
		}
		seen[call] = true
		c.checkCall(p, name, operation, call, callee)
	}
	// Longer chains contain one of exactly this depth, which is reported once.
	if depth := c.graph.depth[name]; depth == MaxDepth+1 {
		c.add(at, "the chain %s is %d operations deep, more than %d", c.graph.chain(name), depth, MaxDepth)
	}
}

// checkCall checks one call, from the operation at path name to the callee at
// path call.
func (c *checker) checkCall(p path, name string, operation Operation, call string, callee Operation) {
	if cycle := c.graph.cycle(name, call); cycle != "" {
		c.add(p, "the calls form a cycle: %s", cycle)
		return
	}
	if reached := c.graph.atMostOnce[call]; reached != "" && !operation.AtMostOnce {
		c.add(p, "%s may reach %s, which is once-only, so %s must be once-only too", name, reached, name)
	}
	if callee.Cost == Long && operation.Cost == Short {
		c.add(p, "%s is short but waits for %s, which is long", name, call)
	}
	if callee.Deadline > operation.Deadline {
		c.add(p, "the deadline of %s, %d ms, is longer than the %d ms of its caller %s",
			call, callee.Deadline, operation.Deadline, name)
	}
}

func (c *checker) checkInstance(at path, instance Instance) {
	c.checkName(at.key("name"), "instance", instance.Name)
	c.instances[instance.Name] = true
	if !c.knownPlaces[instance.Place] {
		c.add(at.key("place"), "place %.130q is not a listed region and centre", instance.Place)
	}
	c.checkHost(at, instance)
	c.checkRange(at.key("slots"), int64(instance.Slots), 1, MaxSlots)
	c.checkRange(at.key("conns"), int64(instance.Conns), 1, MaxConns)
	if instance.Conns >= 1 && instance.Conns < instance.Slots {
		c.add(at.key("conns"), "%d connections cannot fill %d slots, as each request holds one", instance.Conns, instance.Slots)
	}
}

func (c *checker) checkHost(at path, instance Instance) {
	host := instance.Host
	addr, err := netip.ParseAddr(host)
	switch {
	case err != nil:
		c.add(at.key("host"), "%.70q is not an IP address", host)
	case addr.IsUnspecified() || addr.IsMulticast() || addr.Zone() != "":
		c.add(at.key("host"), "%s is not the address of one host", addr)
	case addr.String() != host:
		c.add(at.key("host"), "write the address %.70q as %s", host, addr)
	}
	c.checkPort(at.key("inbound"), instance, instance.Inbound)
	c.checkPort(at.key("outbound"), instance, instance.Outbound)
	c.checkPort(at.key("control"), instance, instance.Control)
	c.checkPort(at.key("operator"), instance, instance.Operator)
}

func (c *checker) checkPort(p path, instance Instance, port int) {
	if port < 1 || port > MaxPort {
		c.add(p, "%d is outside 1 to %d", port, MaxPort)
		return
	}
	key := fmt.Sprintf("%s %d", instance.Host, port)
	if owner, ok := c.ports[key]; ok {
		c.add(p, "port %d of %s is taken by instance %s", port, instance.Host, owner)
		return
	}
	c.ports[key] = instance.Name
}
