// Package retry bounds how much work retries may add and spreads them over
// time.
package retry

import "tanagerspread/core/request"

const (
	// creditPerSuccess is the share of a retry that a success earns, so that
	// retries stay under a tenth of the requests.
	creditPerSuccess = 0.1
	// initialBudget is the number of retries that a new node may make.
	initialBudget = 10
	// maxBudget bounds the retries that a node can save up.
	maxBudget = 100
	// organisationBudget is the number of retries that an organisation starts
	// with and the most that it can save up, so that one organisation cannot
	// use the budget of the node alone.
	organisationBudget = 5
)

// Budgets counts the retries that may still be made by the node and by each
// organisation. Successes earn a fraction of a retry.
type Budgets struct {
	node float64
	// used is what organisations have taken from their full budgets. An
	// organisation with a full budget has no entry.
	used map[request.Organisation]float64
}

// NewBudgets returns the budgets of a node that starts.
func NewBudgets() *Budgets {
	return &Budgets{node: initialBudget, used: map[request.Organisation]float64{}}
}

// Credit adds what one success of the organisation earns.
func (b *Budgets) Credit(organisation request.Organisation) {
	b.node = min(b.node+creditPerSuccess, maxBudget)
	used, known := b.used[organisation]
	if !known {
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

// Take uses one retry of the node and of the organisation and reports whether
// both had one left.
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
