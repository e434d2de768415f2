// Package retry bounds the number of further attempts and delays them with backoff
// and jitter. A retry is a further attempt of a request that is not a forwarded call
// and takes from Budgets. A repeat is a further attempt of a forwarded call after
// one that was dispatched and counts against RepeatLimit.
package retry

import "tanagerspread/core/request"

const (
	// creditPerSuccess is the fraction of a retry that one success adds to the
	// budgets, so that retries stay below a tenth of the requests.
	creditPerSuccess = 0.1
	// initialBudget is the number of retries that a node starts with.
	initialBudget = 10
	// maxBudget bounds the retries that a node can accumulate.
	maxBudget = 100
	// organisationBudget is the number of retries that an organisation starts
	// with and the most that it can accumulate, so that one organisation cannot
	// use up the budget of the node.
	organisationBudget = 5
)

// Budgets counts the retries that the node and each organisation have left.
// Each success adds a fraction of a retry.
type Budgets struct {
	node float64
	// used is the part of its budget that each organisation has used. An
	// organisation with a full budget has no entry.
	used map[request.Organisation]float64
}

// NewBudgets returns the budgets of a node at its start.
func NewBudgets() *Budgets {
	return &Budgets{node: initialBudget, used: map[request.Organisation]float64{}}
}

// Credit adds the credit of one success to the budgets of the node and of the
// organisation.
func (b *Budgets) Credit(organisation request.Organisation) {
	b.node = min(b.node+creditPerSuccess, maxBudget)
	used, ok := b.used[organisation]
	if !ok {
		return
	}
	if used <= creditPerSuccess {
		delete(b.used, organisation)
		return
	}
	b.used[organisation] = used - creditPerSuccess
}

// Allows reports whether the organisation may make a retry now.
func (b *Budgets) Allows(organisation request.Organisation) bool {
	return b.node >= 1 && b.RemainingFor(organisation) >= 1
}

// Take uses one retry of the node and one of the organisation and reports
// whether both had one left. Otherwise it uses none.
func (b *Budgets) Take(organisation request.Organisation) bool {
	if !b.Allows(organisation) {
		return false
	}
	b.node--
	b.used[organisation]++
	return true
}

// Remaining returns the number of retries that the node has left.
func (b *Budgets) Remaining() float64 {
	return b.node
}

// RemainingFor returns the number of retries that the organisation has left.
func (b *Budgets) RemainingFor(organisation request.Organisation) float64 {
	return organisationBudget - b.used[organisation]
}
