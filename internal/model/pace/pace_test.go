package pace_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
)

// TestEvery guards against intervals that shift after a slow or an early call, and against calls after the
// context ends.
func TestEvery(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(ctx context.Context, wake <-chan struct{}, f func(context.Context))
		slow time.Duration // the second call takes this long
		wake time.Duration // time of one early call, or 0
		want []int         // starts of calls, milliseconds
	}{
		{name: "every", run: every, want: []int{0, 100, 200, 300}},
		{name: "after", run: after, want: []int{100, 200, 300}},
		{name: "slow call", run: every, slow: 150 * time.Millisecond, want: []int{0, 100, 250, 300}},
		{name: "early call", run: every, wake: 130 * time.Millisecond, want: []int{0, 100, 130, 200, 300}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, wake := time.Now(), make(chan struct{}, 1)
				if c.wake > 0 {
					time.AfterFunc(c.wake, func() { wake <- struct{}{} })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
				defer cancel()
				var got []int
				c.run(ctx, wake, func(context.Context) {
					got = append(got, int(time.Since(start).Milliseconds()))
					if len(got) == 2 {
						time.Sleep(c.slow)
					}
				})
				if !slices.Equal(got, c.want) {
					t.Errorf("calls at %v ms, want %v", got, c.want)
				}
			})
		})
	}
}

func every(ctx context.Context, wake <-chan struct{}, f func(context.Context)) {
	pace.Every(ctx, 100*time.Millisecond, wake, f)
}

func after(ctx context.Context, _ <-chan struct{}, f func(context.Context)) {
	pace.After(ctx, 100*time.Millisecond, f)
}
