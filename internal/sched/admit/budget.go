package admit

import "sync"

const (
	// DefaultRetries is the retry budget in percent of starts.
	DefaultRetries = 10
	// budgetReserve is the number of retries an idle entry may make at once, so that rare work can be retried too.
	budgetReserve = 10
	percent       = 100
)

// Budget limits retries to a share of starts; it is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	credits int // hundredths of a retry
	retries int // percent
}

// NewBudget returns a budget of retries in percent of starts.
func NewBudget(retries int) *Budget {
	return &Budget{credits: budgetReserve * percent, retries: retries}
}

// Resize changes the percentage.
func (b *Budget) Resize(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = retries
}

// Started records the first start of a task.
func (b *Budget) Started() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits = min(b.credits+b.retries, budgetReserve*percent)
}

// Retry takes one retry from the budget; false means that it is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries <= 0 || b.credits < percent {
		return false
	}
	b.credits -= percent
	return true
}
