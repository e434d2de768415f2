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
	// minBurst and minTokenBurst are the burst sizes, in requests and prompt
	// tokens, below which a burst limit is not divided between the nodes.
	minBurst      = 10
	minTokenBurst = 100_000
)

// admit checks the identity, route, limits and deadline of a new request and
// registers it, or refuses it.
func (s *State) admit(now time.Time, m Admit) {
	req := &activeRequest{Request: m.Request}
	if err := s.checkAdmission(now, req); err != nil {
		s.journal.recordRefusal(now, req, err)
		s.reply(m.Request.ID, s.refusal(req, err, false))
		return
	}
	req.machine = s.charts.request
	switch {
	case req.Call != nil:
		req.machine = s.callMachine(req)
	case req.atMostOnce():
		req.machine = s.charts.requestOnce
	}
	req.chart = req.machine.Start(now)
	s.requests[req.ID] = req
	s.fireRequestEvent(req, "admit", now)
	if req.atMostOnce() {
		s.fireRequestEvent(req, "claim", now)
	}
	s.journal.recordAction(now, req, "admit", "")
	s.reply(req.ID, Admitted{Organisation: req.organisation, Class: req.class, Scope: req.scope, Claim: req.atMostOnce(), EchoOptional: req.echoOptional, Deadline: req.Deadline, Route: req.route})
}

func (s *State) checkAdmission(now time.Time, req *activeRequest) *code.Error {
	if s.requests[req.ID] != nil {
		return code.New(code.RequestInProgress, "a request with this id is in progress")
	}
	if err := s.checkNode(); err != nil {
		return err
	}
	if err := s.checkRequest(now, req); err != nil {
		return err
	}
	if req.deadlinePassed(now) {
		return code.New(code.DeadlinePassedNotRun, "the deadline passed before the request arrived")
	}
	req.fingerprint = quarantine.FingerprintOf(req.organisation, req.Route, req.BodyDigest)
	if s.isQuarantined(req) {
		return s.quarantinedError(now, req)
	}
	if req.Call != nil {
		return nil
	}
	return s.checkRates(now, req)
}

// checkRequest determines the organisation, the route and the class of a
// request.
func (s *State) checkRequest(now time.Time, req *activeRequest) *code.Error {
	if req.Call != nil {
		return s.admitCall(now, req)
	}
	if err := s.authenticate(req); err != nil {
		return err
	}
	if err := s.checkRoute(req); err != nil {
		return err
	}
	return s.checkClass(req)
}

func (s *State) checkRates(now time.Time, req *activeRequest) *code.Error {
	limit := s.nodeShare(s.rules.Organisations[req.organisation])
	if !s.rates.Allow(req.organisation, 1, limit.Rate, limit.Burst, now) {
		return code.New(code.OrganisationLimit, "the organisation has reached its request rate")
	}
	if !s.tokenRates.Allow(req.organisation, req.PromptTokens, limit.TokenRate, limit.TokenBurst, now) {
		return code.New(code.OrganisationLimit, "the organisation has reached its prompt token rate")
	}
	return nil
}

// nodeShare returns this node's share of an organisation's limits. Each entry VM
// of the VM list takes an equal share, so that no coordinator is needed. A burst
// limit is not divided below minBurst and minTokenBurst, because the load
// balancer does not distribute a few requests evenly.
func (s *State) nodeShare(limit config.Organisation) config.Organisation {
	nodes := s.sharingNodes()
	limit.Burst = limits.EffectiveBurst(limit.Rate, limit.Burst)
	limit.TokenBurst = limits.EffectiveBurst(limit.TokenRate, limit.TokenBurst)
	limit.Rate /= float64(nodes)
	limit.TokenRate /= float64(nodes)
	limit.Burst = max(limit.Burst/nodes, min(limit.Burst, minBurst))
	limit.TokenBurst = max(limit.TokenBurst/nodes, min(limit.TokenBurst, minTokenBurst))
	return limit
}

// checkNode returns an error while the node may not serve requests.
func (s *State) checkNode() *code.Error {
	for _, refusal := range nodeRefusals {
		if s.nodeChart.Is(refusal.tag) {
			return code.New(refusal.code, refusal.detail)
		}
	}
	return nil
}

// authenticate sets the organisation that owns the bearer token. It compares
// all digests in constant time, so that the duration of a refusal reveals
// nothing about the digests in the rules.
func (s *State) authenticate(req *activeRequest) *code.Error {
	matched := false
	for digest, token := range s.rules.Tokens {
		if subtle.ConstantTimeCompare(digest[:], req.TokenDigest[:]) == 1 {
			matched = true
			req.organisation = token.Organisation
		}
	}
	if !matched {
		return code.New(code.UnknownToken, "no rule knows the bearer token")
	}
	return nil
}

func (s *State) checkRoute(req *activeRequest) *code.Error {
	allowed := s.rules.Organisations[req.organisation].Models
	if len(allowed) > 0 && !slices.Contains(allowed, req.Route.Name) {
		return code.New(code.ModelNotAllowed, "the organisation may not use this model or service")
	}
	if req.Route.Kind == request.Service {
		return s.checkService(req)
	}
	model, ok := s.rules.Models[req.Route.Name]
	if !ok {
		return code.New(code.UnknownModel, "no rule defines the model")
	}
	req.class = model.Class
	weights := s.orders.serving[req.Route.Name]
	req.scope = cachekey.Scope{
		Organisation: string(req.organisation),
		Model:        req.Route.Name,
		Adapter:      s.orders.adapters[req.Route.Name][weights],
		Weights:      weights,
	}
	return nil
}

func (s *State) checkService(req *activeRequest) *code.Error {
	service, ok := s.rules.Services[req.Route.Name]
	if !ok {
		return code.New(code.UnknownService, "no rule defines the service")
	}
	if service.NonIdempotent && !req.atMostOnce() {
		return code.New(code.MissingIdempotencyKey, "the service is non-idempotent and the call has no Idempotency-Key")
	}
	req.class = service.Class
	req.echoOptional = service.EchoOptional
	return nil
}

// checkClass applies the class that the caller asked for, if any, and returns an
// error when the rules do not define the class.
func (s *State) checkClass(req *activeRequest) *code.Error {
	if req.Class != "" {
		req.class = req.Class
	}
	class, ok := s.rules.Classes[req.class]
	if !ok {
		return code.New(code.MalformedHeader, "no rule defines the class")
	}
	req.classConfig = class
	return nil
}

// claimResult continues or refuses a request after the result of its
// at-most-once claim.
func (s *State) claimResult(now time.Time, m ClaimResult) {
	req, ok := s.requests[m.Request]
	if !ok {
		s.refuse(m.Request, code.DeadlinePassedNotRun, "the request ended before its claim was settled")
		return
	}
	switch {
	case m.Err != nil:
		s.finishWithError(now, req, "refuse", m.Err)
	case m.Replay:
		s.fireRequestEvent(req, "replay", now)
		s.removeRequest(req)
		s.reply(req.ID, Replay{})
	case s.fireRequestEvent(req, "claimed", now):
		s.reply(req.ID, Proceed{})
	default:
		s.finishWithError(now, req, "refuse", code.New(code.DeadlinePassedNotRun, "the claim took too long"))
	}
}

// policyOf returns the named placement policy, or the default Estimate for an
// unknown name. The check of the rules refuses unknown names.
func policyOf(name string) placement.Policy {
	policy, ok := placement.ByName(name)
	if !ok {
		return placement.Estimate{}
	}
	return policy
}
