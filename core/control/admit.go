package control

import (
	"crypto/subtle"
	"slices"
	"time"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/limits"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

const (
	// minBurst and minTokenBurst are the requests and prompt tokens of a burst
	// that each node may admit, however many nodes share the limit.
	minBurst      = 10
	minTokenBurst = 100_000
)

// admit checks identity, route, limits and deadline of a new request.
func (s *State) admit(now time.Time, m Admit) {
	a := &active{Request: m.Request}
	if err := s.checkAdmission(now, a); err != nil {
		s.journal.refuse(now, a, err)
		s.reply(m.Request.ID, s.refusal(a, err, false))
		return
	}
	a.machine = s.charts.request
	switch {
	case a.Call != nil:
		a.machine = s.callMachine(a)
	case a.once():
		a.machine = s.charts.once
	}
	a.position = a.machine.Start(now)
	s.requests[a.ID] = a
	s.fireRequest(a, "admit", now)
	if a.once() {
		s.fireRequest(a, "claim", now)
	}
	s.journal.add(now, a, "admit", "")
	s.reply(a.ID, Admitted{Organisation: a.organisation, Class: a.class, Scope: a.scope, Claim: a.once(), EchoOptional: a.echoOptional, Deadline: a.Deadline, Route: a.route})
}

func (s *State) checkAdmission(now time.Time, a *active) *code.Error {
	if err := s.checkNode(); err != nil {
		return err
	}
	if err := s.checkRequest(now, a); err != nil {
		return err
	}
	if a.late(now) {
		return code.New(code.DeadlinePassedNotRun, "the deadline passed before the request arrived")
	}
	a.fingerprint = quarantine.FingerprintOf(a.organisation, a.Route, a.BodyDigest)
	if s.quarantine.IsQuarantined(a.fingerprint) {
		return a.quarantined()
	}
	if a.Call != nil {
		return nil
	}
	return s.checkRates(now, a)
}

// checkRequest finds the organisation, the route and the class of a request.
func (s *State) checkRequest(now time.Time, a *active) *code.Error {
	if a.Call != nil {
		return s.admitCall(now, a)
	}
	if err := s.identify(a); err != nil {
		return err
	}
	if err := s.checkRoute(a); err != nil {
		return err
	}
	return s.checkClass(a)
}

func (s *State) checkRates(now time.Time, a *active) *code.Error {
	limit := s.shareOf(s.rules.Organisations[a.organisation])
	if !s.rates.Allow(a.organisation, 1, limit.Rate, limit.Burst, now) {
		return code.New(code.OrganisationLimit, "the organisation has reached its request rate")
	}
	if !s.tokenRates.Allow(a.organisation, a.PromptTokens, limit.TokenRate, limit.TokenBurst, now) {
		return code.New(code.OrganisationLimit, "the organisation has reached its prompt token rate")
	}
	return nil
}

// shareOf returns this node's part of an organisation's limits. Each entry VM
// of the VM list takes an equal part, so that no coordinator is needed. A
// small burst is not divided further, because the load balancer does not
// spread a few requests evenly.
func (s *State) shareOf(limit config.Organisation) config.Organisation {
	nodes := s.sharingNodes()
	limit.Burst = limits.EffectiveBurst(limit.Rate, limit.Burst)
	limit.TokenBurst = limits.EffectiveBurst(limit.TokenRate, limit.TokenBurst)
	limit.Rate /= float64(nodes)
	limit.TokenRate /= float64(nodes)
	limit.Burst = max(limit.Burst/nodes, min(limit.Burst, minBurst))
	limit.TokenBurst = max(limit.TokenBurst/nodes, min(limit.TokenBurst, minTokenBurst))
	return limit
}

// checkNode refuses requests while the node may not serve any.
func (s *State) checkNode() *code.Error {
	for _, refusal := range nodeRefusals {
		if s.life.Is(refusal.tag) {
			return code.New(refusal.code, refusal.detail)
		}
	}
	return nil
}

// identify finds the organisation of the bearer token. It compares all
// digests in constant time, so that the time of a refusal tells nothing about
// the digests in the rules.
func (s *State) identify(a *active) *code.Error {
	known := false
	for digest, token := range s.rules.Tokens {
		if subtle.ConstantTimeCompare(digest[:], a.TokenDigest[:]) == 1 {
			known = true
			a.organisation = token.Organisation
		}
	}
	if !known {
		return code.New(code.UnknownToken, "no rule knows the bearer token")
	}
	return nil
}

func (s *State) checkRoute(a *active) *code.Error {
	allowed := s.rules.Organisations[a.organisation].Models
	if len(allowed) > 0 && !slices.Contains(allowed, a.Route.Name) {
		return code.New(code.ModelNotAllowed, "the organisation may not use this model or service")
	}
	if a.Route.Kind == request.Service {
		return s.checkService(a)
	}
	model, known := s.rules.Models[a.Route.Name]
	if !known {
		return code.New(code.UnknownModel, "no rule defines the model")
	}
	a.class = model.Class
	weights := s.orders.serving[a.Route.Name]
	a.scope = cachekey.Scope{
		Organisation: string(a.organisation),
		Model:        a.Route.Name,
		Adapter:      s.orders.adapters[a.Route.Name][weights],
		Weights:      weights,
	}
	return nil
}

func (s *State) checkService(a *active) *code.Error {
	service, known := s.rules.Services[a.Route.Name]
	if !known {
		return code.New(code.UnknownService, "no rule defines the service")
	}
	if service.NonIdempotent && !a.once() {
		return code.New(code.MissingIdempotencyKey, "the service is non-idempotent and the call has no Idempotency-Key")
	}
	a.class = service.Class
	a.echoOptional = service.EchoOptional
	return nil
}

// checkClass applies the class that the caller asked for.
func (s *State) checkClass(a *active) *code.Error {
	if a.Class != "" {
		a.class = a.Class
	}
	class, known := s.rules.Classes[a.class]
	if !known {
		return code.New(code.MalformedHeader, "no rule defines the class")
	}
	a.rank = class
	return nil
}

// claimResult goes on with a request whose at-most-once record is settled.
func (s *State) claimResult(now time.Time, m ClaimResult) {
	a, ok := s.requests[m.Request]
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the request ended before its claim was settled")
		return
	}
	switch {
	case m.Refused != nil:
		s.end(now, a, "refuse", m.Refused)
	case m.Replay:
		s.fireRequest(a, "replay", now)
		s.forget(a)
		s.reply(a.ID, Replay{})
	case s.fireRequest(a, "claimed", now):
		s.reply(a.ID, Proceed{})
	default:
		s.end(now, a, "refuse", code.New(code.DeadlinePassedNotRun, "the claim took too long"))
	}
}

// policyOf returns the named policy. A name that no policy has is refused when
// the rules are checked, so that here the default stands in for it.
func policyOf(name string) placement.Policy {
	policy, known := placement.ByName(name)
	if !known {
		return placement.Estimate{}
	}
	return policy
}
