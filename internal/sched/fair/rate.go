package fair

import (
	"math"
	"time"
)

// rateTime is the time constant, in seconds, of the average of arriving work: a peak lasts for 4 to 9 s.
const rateTime = 1.0

// Rate is work that arrives per second, in each resource.
type Rate [dimensions]float64

// Rates are moving averages of the work that arrives at a pool, by customer.
type Rates struct {
	rates []Rate
	at    time.Time
}

// Add adds the work of a job that was taken on.
func (r *Rates) Add(customer int, w Work, now time.Time) {
	r.decay(now)
	for len(r.rates) <= customer {
		r.rates = append(r.rates, Rate{})
	}
	for d := range dimensions {
		r.rates[customer][d] += w.sums[d] / rateTime
	}
}

// Of returns the present rate of a customer.
func (r *Rates) Of(customer int, now time.Time) Rate {
	if customer >= len(r.rates) {
		return Rate{}
	}
	r.decay(now)
	return r.rates[customer]
}

func (r *Rates) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(r.at).Seconds(), 0) / rateTime)
	r.at = now
	for i := range r.rates {
		for d := range dimensions {
			r.rates[i][d] *= factor
		}
	}
}
