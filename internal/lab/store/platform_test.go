package store_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	lab "github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// longTimeout is a timeout that is not reached on a busy machine.
const longTimeout = time.Minute

// TestReboot guards against a fake platform that reboots busy instances, and against a reboot that does not reach
// the worker.
func TestReboot(t *testing.T) {
	w := lab.New(roster.Listing{ID: "w1"}, &record.Log[record.Journal]{}, lab.WithBootTime(time.Millisecond))
	workerPort, err := w.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer workerPort.Refuse()
	s := store.New()
	s.Put(w.Listing())
	rosterPort, err := s.Listen(store.Roster, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer rosterPort.Refuse()
	platform := roster.NewClient("http://"+rosterPort.Address(), rest.WithTimeout(longTimeout))
	c := worker.NewClient(rest.WithTimeout(longTimeout))
	a := workerPort.Address()
	start := worker.Start{
		Task: "a.1", Lease: longTimeout, Input: input.Encode(input.Header{Run: longTimeout.Milliseconds()}, nil),
	}
	if err := errors.Join(
		c.Reserve(t.Context(), a, worker.Reservation{Task: "a.1", Slots: 1, TTL: longTimeout}), c.Start(t.Context(), a, start),
	); err != nil {
		t.Fatal(err)
	}
	if err := platform.Reboot(t.Context(), "w1", "v2"); !errors.Is(err, roster.ErrBusy) {
		t.Fatalf("reboot of a busy instance: %v, want %v", err, roster.ErrBusy)
	}
	if _, err := c.Stop(t.Context(), a, "a.1", false); err != nil {
		t.Fatal(err)
	}
	if err := platform.Reboot(t.Context(), "w1", "v2"); err != nil {
		t.Fatal(err)
	}
	for {
		if r, err := c.Report(t.Context(), a); err == nil && r.Version == "v2" && r.Boot == "w1.2" {
			return
		}
		if t.Context().Err() != nil {
			t.Fatal("the worker did not answer with version v2 and its second boot")
		}
	}
}

// TestLimits guards against a fake store that accepts more operations than the platform: operations slightly over
// the limit are delayed, those far over it are declined, and a declined write has no effect.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := port.NewNetwork()
		s := store.New(store.WithLimits(2, 0))
		s.Join(n)
		c := table.NewClient("http://table", rest.WithTransport(n))
		var mu sync.Mutex
		applied, declined := 0, 0
		var g sync.WaitGroup
		begin := time.Now()
		for i := range 10 {
			g.Go(func() {
				_, err := c.Commit(t.Context(), table.Transaction{Writes: []table.Write{{Key: fmt.Sprint("k", i)}}})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					applied++
				case errors.Is(err, table.ErrUnavailable):
					declined++
				}
			})
		}
		g.Wait()
		items, err := c.Scan(t.Context(), "k", "", 100)
		if err != nil || applied != 4 || declined != 6 || len(items) != applied || time.Since(begin) != time.Second {
			t.Fatalf("applied %d and declined %d in %v, %d items, error %v; want 4 and 6 in 1 s",
				applied, declined, time.Since(begin), len(items), err)
		}
		if got := s.Counters(store.Table); got.Writes != 4 || got.Throttled != 6 || got.Reads != 1 {
			t.Fatalf("counters %+v", got)
		}
	})
}

// TestControl guards against settings that the control endpoint accepts and does not apply.
func TestControl(t *testing.T) {
	s := store.New()
	control, err := port.Listen("127.0.0.1:0", 0, s.Control())
	if err != nil {
		t.Fatal(err)
	}
	defer control.Refuse()
	c := rest.NewCaller("http://"+control.Address(), rest.WithTimeout(longTimeout))
	want := store.Faults{Outage: store.OutageHang, Delay: time.Second, Lose: 3, Fraction: 0.5}
	if err := c.JSON(t.Context(), rest.Request{Method: http.MethodPut, Path: store.PathFaults + "object", In: want}, nil); err != nil {
		t.Fatal(err)
	}
	if got := s.Faults(store.Object); got != want {
		t.Errorf("faults %+v, want %+v", got, want)
	}
	if got := s.Faults(store.Table); got != (store.Faults{}) {
		t.Errorf("faults of another service %+v", got)
	}
	in := roster.Listing{ID: "w1", State: roster.Live}
	if err := c.JSON(t.Context(), rest.Request{Method: http.MethodPost, Path: store.PathInstances, In: in}, nil); err != nil {
		t.Fatal(err)
	}
	if l := s.Listed(); len(l) != 1 || l[0] != in {
		t.Errorf("listed %+v, want %+v", l, in)
	}
	err = c.JSON(t.Context(), rest.Request{Method: http.MethodPut, Path: store.PathFaults + "other", In: want}, nil)
	if rest.CodeOf(err) == "" {
		t.Errorf("unknown service: error %v", err)
	}
}
