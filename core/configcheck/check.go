package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// checker collects the findings of one document.
type checker struct {
	document Document
	findings []Finding
}

// Check returns the errors of a document, its entries without effect and its limits that
// contradict each other, in the order of the document. The version in force is 0 when it
// is not known.
func Check(d Document, inForce config.Version) []Finding {
	c := &checker{document: d}
	switch {
	case d.Version == 0:
		c.add(Error, Place{Field: Version}, code.RuleMalformed, "the configuration has no version")
	case d.Version <= inForce:
		c.add(Error, Place{Field: Version}, code.VersionNotHigher, "version %d is not higher than version %d in force", d.Version, inForce)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	return c.findings
}

func (c *checker) add(severity Severity, place Place, number code.Code, format string, args ...any) {
	c.findings = append(c.findings, Finding{Place: place, Severity: severity, Code: number, Reason: fmt.Sprintf(format, args...)})
}

// checkName adds an error when an earlier entry of the section has the same name.
func (c *checker) checkName(place Place, name string, seen map[string]bool) {
	if seen[name] {
		place.Field = Name
		c.add(Error, place, code.RuleConflict, "an earlier entry has the name %q too", name)
	}
	seen[name] = true
}

func (c *checker) checkRoutes() {
	// The last of several routes with the same host and prefix applies.
	last := map[[2]string]int{}
	for i, route := range c.document.Routes {
		last[[2]string{route.Host, route.Prefix}] = i
	}
	names := map[string]bool{}
	for i := range c.document.Routes {
		route := &c.document.Routes[i]
		place := Place{Section: Routes, Index: i}
		c.checkName(place, route.Name, names)
		if by := last[[2]string{route.Host, route.Prefix}]; by != i {
			c.add(Warning, place, code.RuleUnused, "the later route %q has the same host and path prefix", c.document.Routes[by].Name)
		}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			c.add(Warning, place.at(Prefix), code.RuleUnused, "the path prefix %q matches no call: it does not begin and end with a slash", route.Prefix)
		}
		c.checkRoute(place, route)
		c.checkSplit(place, route.Split)
	}
}

// at returns the place of a field of the same entry.
func (p Place) at(field Field) Place {
	p.Field = field
	return p
}

func (c *checker) checkRoute(place Place, route *Route) {
	if route.Kind == 0 {
		c.add(Error, place.at(Kind), code.RuleMalformed, "the kind is unknown")
	}
	if route.Timeout <= 0 {
		c.add(Error, place.at(Timeout), code.RuleMalformed, "the time limit is not positive")
	}
	c.checkTarget(place.at(FirstPartTarget), route.FirstPartTarget, route.Timeout)
	c.checkTarget(place.at(GapTarget), route.GapTarget, route.Timeout)
	switch {
	case route.MaxAttempts < 1:
		c.add(Warning, place.at(MaxAttempts), code.LimitsConflict, "%d attempts serve no call; the nodes make one", route.MaxAttempts)
	case route.MaxAttempts > 1 && route.Kind != 0 && !route.Repeatable():
		c.add(Warning, place.at(MaxAttempts), code.LimitsConflict, "%d attempts are allowed, but a call of this route is not repeated after it may have run", route.MaxAttempts)
	}
}

func (c *checker) checkTarget(place Place, target, timeout time.Duration) {
	if timeout > 0 && target > timeout {
		c.add(Warning, place, code.LimitsConflict, "the target of %v is above the time limit of %v", target, timeout)
	}
}

func (c *checker) checkSplit(place Place, split []config.WeightedService) {
	total := 0
	for _, share := range split {
		total += share.Weight
	}
	if total <= 0 {
		c.add(Error, place.at(Split), code.RuleMalformed, "the weights add up to %d", total)
	}
	for part, share := range split {
		place.Part = part
		if !c.hasService(share.Service) {
			c.add(Error, place.at(SplitService), code.RuleUnresolved, "no service has the name %q", share.Service)
		}
		if share.Weight <= 0 && total > 0 {
			c.add(Warning, place.at(SplitWeight), code.RuleUnused, "service %q gets no calls: its weight is %d", share.Service, share.Weight)
		}
	}
}

func (c *checker) hasService(name string) bool {
	return slices.ContainsFunc(c.document.Services, func(s Service) bool { return s.Name == name && !s.Store })
}

func (c *checker) checkServices() {
	routed := map[string]bool{}
	for _, route := range c.document.Routes {
		for _, share := range route.Split {
			routed[share.Service] = true
		}
	}
	names := map[string]bool{}
	for i, service := range c.document.Services {
		place := Place{Section: Services, Index: i}
		c.checkName(place, service.Name, names)
		if service.Store {
			continue
		}
		if !routed[service.Name] {
			c.add(Warning, place, code.RuleUnused, "no route leads to service %q", service.Name)
		}
		c.checkPool(place, service)
	}
}

func (c *checker) checkPool(place Place, service Service) {
	pool := service.Pool
	switch {
	case pool.ColdRate > 0 && service.ColdTime <= 0:
		c.add(Warning, place.at(ColdRate), code.LimitsConflict, "the rate of cold servers is limited, but no server is cold")
	case pool.ColdRate <= 0 && service.ColdTime > 0:
		c.add(Warning, place.at(ColdTime), code.LimitsConflict, "servers are cold after their start, but their rate is not limited")
	}
	if pool.Role != fleet.RoleEngine {
		return
	}
	// Without a connection limit the concurrency limit applies alone.
	if pool.MaxConnections > 0 && pool.MaxConnections < service.MaxConcurrency {
		c.add(Warning, place.at(MaxConnections), code.LimitsConflict,
			"%d connections cannot carry the %d calls that an engine runs at once", pool.MaxConnections, service.MaxConcurrency)
	}
	if pool.CacheTokens <= 0 {
		c.add(Warning, place.at(CacheTokens), code.LimitsConflict, "the KV cache of an engine has no capacity")
	}
}

func (c *checker) checkOrganisations() {
	names := map[string]bool{}
	holders := map[request.Digest]string{}
	for i, organisation := range c.document.Organisations {
		place := Place{Section: Organisations, Index: i}
		c.checkName(place, organisation.Name, names)
		if len(organisation.Keys) == 0 {
			c.add(Warning, place, code.RuleUnused, "%q has no key", organisation.Name)
		}
		shared := map[string]int{}
		for key := range organisation.Keys {
			if holder, held := holders[key]; held && holder != organisation.Name {
				shared[holder]++
			}
			holders[key] = organisation.Name
		}
		for _, holder := range slices.Sorted(maps.Keys(shared)) {
			c.add(Error, place.at(Keys), code.RuleConflict, "%q has %d of the keys too", holder, shared[holder])
		}
	}
}

func (c *checker) checkLimits() {
	limits, place := c.document.Limits, Place{Section: Limits}
	if limits.HeaderTimeout < 0 {
		c.add(Error, place.at(HeaderTimeout), code.RuleMalformed, "the time limit is negative")
	}
	if limits.IdleTimeout < 0 {
		c.add(Error, place.at(IdleTimeout), code.RuleMalformed, "the time limit is negative")
	}
	// Without an idle limit the built-in one applies.
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(Warning, place.at(HeaderTimeout), code.LimitsConflict, "a head may take %v, but a connection may be idle for %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
