package learn

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func within10Percent[N time.Duration | float64](got, want N) bool {
	return float64(got) > 0.9*float64(want) && float64(got) < 1.1*float64(want)
}

// TestAgeing guards against estimates that still contain old run times a minute after a queue's work has changed, and
// against losing the estimate of rare work.
func TestAgeing(t *testing.T) {
	d := NewDurations()
	now := start
	for i := range 1000 {
		d.Observe(now, time.Duration(i%100+1)*10*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
	typical, high := d.Quantiles(now)
	if !within10Percent(typical, 500*time.Millisecond) || !within10Percent(high, 950*time.Millisecond) {
		t.Errorf("typical %v, high %v, want about 500 ms and 950 ms", typical, high)
	}
	for range 700 {
		d.Observe(now, 5*time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	if typical, _ = d.Quantiles(now); !within10Percent(typical, 5*time.Second) {
		t.Errorf("typical %v a minute after the run time became 5 s", typical)
	}
	rare := NewDurations()
	for range 3 {
		rare.Observe(now, time.Minute)
		now = now.Add(time.Hour)
	}
	if typical, _ = rare.Quantiles(now); !within10Percent(typical, time.Minute) {
		t.Errorf("typical %v of work that runs once an hour, want a minute", typical)
	}
}

// TestRange guards against losing values outside the histogram's range.
func TestRange(t *testing.T) {
	d := NewDurations()
	d.Observe(start, 24*time.Hour)
	if typical, _ := d.Quantiles(start); typical < 50*time.Minute {
		t.Errorf("typical %v of a longer run time, want about maxRunTime", typical)
	}
	d = NewDurations()
	d.Observe(start, -time.Second)
	if typical, _ := d.Quantiles(start); typical <= 0 || typical > time.Millisecond {
		t.Errorf("typical %v of a negative run time", typical)
	}
}

// TestRate guards against a rate that does not fall while no events occur.
func TestRate(t *testing.T) {
	var r Rate
	now := start
	for range 300 {
		r.Add(now, 2)
		now = now.Add(100 * time.Millisecond)
	}
	if got := r.PerSecond(now); !within10Percent(got, 20.0) {
		t.Errorf("%.1f events per second, want 20", got)
	}
	if got := r.PerSecond(now.Add(rateHalfLife)); !within10Percent(got, 10.0) {
		t.Errorf("%.1f events per second a half-life later, want 10", got)
	}
}
