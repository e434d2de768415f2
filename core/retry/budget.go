// Package retry bounds how much work retries may add.
package retry

const (
	// creditPerSuccess is the share of a retry that a success earns, so that
	// retries stay under a tenth of the requests.
	creditPerSuccess = 0.1
	// initialBudget is the number of retries that a new node may make.
	initialBudget = 10
	// maxBudget bounds the retries that can be saved up.
	maxBudget = 100
)

// Budget is the number of retries that may still be made. Successes earn a
// fraction of a retry.
type Budget struct {
	left float64
}

// NewBudget returns the budget of a node that starts.
func NewBudget() *Budget {
	return &Budget{left: initialBudget}
}

// Credit adds what one success earns.
func (b *Budget) Credit() {
	b.left = min(b.left+creditPerSuccess, maxBudget)
}

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left() float64 {
	return b.left
}
