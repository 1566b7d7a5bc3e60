package host

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
)

// usageInterval is the period over which the processor time of the process is measured.
const usageInterval = time.Second

// usage measures the processor time of this process.
type usage struct {
	// bits are those of the cores used in the last interval.
	bits atomic.Uint64
}

// cores returns the processor time used in the last interval, in cores.
func (u *usage) cores() float64 { return math.Float64frombits(u.bits.Load()) }

// run measures until the context ends.
func (u *usage) run(ctx context.Context) {
	at, used := time.Now(), processorTime()
	pace.After(ctx, usageInterval, func(context.Context) {
		now, total := time.Now(), processorTime()
		if d := now.Sub(at); d > 0 {
			u.bits.Store(math.Float64bits((total - used).Seconds() / d.Seconds()))
		}
		at, used = now, total
	})
}

// processorTime returns the processor time that this process has used, 0 if that can't be read.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
