package expect

import (
	"math"
	"time"
)

const (
	// shapeInterval is the number of runs after which the shape is built again, which takes some microseconds.
	shapeInterval = 64
	// priorSlope and priorSlopeSpread are what is assumed of the slope without evidence: declared times are off by a factor, so
	// that twice the declared time is twice the run time.
	priorSlope       = 1
	priorSlopeSpread = 0.5
	// maxSlope bounds the slope; a negative one would be noise.
	maxSlope = 2
)

// queueModel is the model of one queue. All of it is in logarithms of seconds.
type queueModel struct {
	name   string
	usedAt time.Time
	// count is the number of runs seen, changed that of those that the store does not have; storedAt is when it got the last.
	count, changed int64
	storedAt       time.Time
	// meanX and meanY are the means of the declared and the actual times, variance and covariance those of the declared times
	// and of both.
	meanX, meanY, variance, covariance float64
	slope                              float64
	images, customers                  effects
	residuals                          residuals
	shape                              *shape
	line                               Line
	errors                             Errors
}

func newQueueModel(name string) *queueModel {
	return &queueModel{name: name, slope: priorSlope, images: effects{}, customers: effects{}, residuals: newResiduals(),
		shape: defaultShape}
}

func (q *queueModel) sigma() float64 { return normalDeviation * q.shape.deviation }

// declared returns the logarithm of a task's declared time; without one, the mean is as good as any.
func (q *queueModel) declared(t Task) float64 {
	if t.Declared <= 0 {
		return q.meanX
	}
	return math.Log(t.Declared.Seconds())
}

// expect returns the expectation for a task on a worker with an effect.
func (q *queueModel) expect(t Task, worker float64) Expectation {
	if q.count < minSamples {
		return declaredExpectation(t)
	}
	sigma := q.sigma()
	center := q.meanY + q.slope*(q.declared(t)-q.meanX) + q.images[t.Image].value(sigma) +
		q.customers[t.Customer].value(sigma) + worker
	return Expectation{center: math.Exp(center), shape: q.shape}
}

// observe learns from a run, after it has been compared with what was expected.
func (q *queueModel) observe(t Task, ran time.Duration, w *workerEffect, now time.Time) {
	q.usedAt = now
	image, customer := q.images.get(t.Image, MaxImages, now), q.customers.get(t.Customer, MaxCustomers, now)
	sigma, worker := q.sigma(), 0.0
	if w != nil {
		worker = w.value(now)
	}
	x, ofImage, ofCustomer := q.declared(t), image.value(sigma), customer.value(sigma)
	y := math.Log(ran.Seconds())
	if q.count == 0 {
		q.meanX, q.meanY = x, y
	}
	base := q.meanY + q.slope*(x-q.meanX)
	known := y - base - ofImage - ofCustomer
	expected := logSeconds(declared(t))
	if q.count >= minSamples {
		expected = y - known + worker + math.Log(q.shape.mean)
	}
	q.errors.add(y, logSeconds(declared(t)), logSeconds(q.line.Estimate(t.Declared)), expected)
	q.residuals.add(math.Exp(known - worker))
	clipped := known - worker
	if q.count >= minSamples {
		bound := clipDeviations * q.shape.deviation
		clipped = min(max(clipped, -bound), bound)
		image.observe(clipped+ofImage, now)
		customer.observe(clipped+ofCustomer, now)
		if w != nil {
			w.observe(known, sigma, now)
		}
	}
	q.fit(x, base+clipped)
	q.line.Observe(t.Declared, ran)
	q.changed++
	if q.count == minSamples || q.count%shapeInterval == 0 && q.count > minSamples {
		q.shape = newShape(q.residuals.bars())
	}
}

// fit adds a sample to the regression.
func (q *queueModel) fit(x, y float64) {
	q.count++
	gain := max(sampleGain, 1/float64(q.count))
	offX, offY := x-q.meanX, y-q.meanY
	q.meanX += gain * offX
	q.meanY += gain * offY
	q.variance += gain * (offX*(x-q.meanX) - q.variance)
	q.covariance += gain * (offX*(y-q.meanY) - q.covariance)
	q.updateSlope()
}

// updateSlope computes the most probable slope, given the prior one and the samples that count.
func (q *queueModel) updateSlope() {
	n := min(float64(q.count), 1/sampleGain)
	prior := q.sigma() * q.sigma() / (priorSlopeSpread * priorSlopeSpread)
	q.slope = min(max((n*q.covariance+prior*priorSlope)/(n*q.variance+prior), 0), maxSlope)
}
