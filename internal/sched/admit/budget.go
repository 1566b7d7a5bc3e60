package admit

import "sync"

const (
	// DefaultRetries is the default retry budget in percent of starts.
	DefaultRetries = 10
	// budgetBurst is the most retries that the budget accumulates, so that an entry with few starts can retry too.
	budgetBurst = 10
	percent     = 100
)

// Budget limits retries to a percentage of starts; it is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	credits int // hundredths of a retry
	retries int // percent
}

// NewBudget returns a full budget that grows by a percentage of starts.
func NewBudget(retries int) *Budget {
	return &Budget{credits: budgetBurst * percent, retries: retries}
}

// Resize changes the percentage.
func (b *Budget) Resize(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = retries
}

// ObserveStart records the first start of a task.
func (b *Budget) ObserveStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits = min(b.credits+b.retries, budgetBurst*percent)
}

// TakeRetry takes one retry from the budget; false means that it is exhausted or that the percentage is 0.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries <= 0 || b.credits < percent {
		return false
	}
	b.credits -= percent
	return true
}
