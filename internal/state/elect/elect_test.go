package elect_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
)

func take(t *testing.T, store table.Table, name string) *elect.Leadership {
	t.Helper()
	items, err := store.Get(t.Context(), elect.LeaderKey)
	if err != nil {
		t.Fatal(err)
	}
	var seen table.Item
	if len(items) == 1 {
		seen = items[0]
	}
	held, err := elect.Acquire(t.Context(), store, elect.Identity{Name: name, Boot: name + ".1", Address: name}, seen)
	if err != nil {
		t.Fatal(err)
	}
	return held
}

func value(t *testing.T, store table.Table, key string) string {
	t.Helper()
	items, err := store.Get(t.Context(), key)
	if err != nil || len(items) != 1 {
		t.Fatalf("%s: %d rows, %v", key, len(items), err)
	}
	return string(items[0].Value)
}

func put(key, v string) []table.Write { return []table.Write{{Key: key, Value: []byte(v)}} }

// Guards against transactions that are given up, repeated with effect or overtaken by late ones while replies get lost.
func TestCommit(t *testing.T) {
	tests := []struct {
		name   string
		faults fakes.Faults
	}{
		{"reply lost", fakes.Faults{Lose: 1}},
		{"replies lost in a row", fakes.Faults{Lose: 4}},
		{"transaction lost", fakes.Faults{Drop: 2}},
		{"carried out late", fakes.Faults{Late: 2, LateBy: 3 * time.Second}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				link := fakes.NewTable().Link()
				held := take(t, link, "a")
				link.Set(x.faults)
				for _, v := range []string{"1", "2", "3"} {
					if err := held.Commit(t.Context(), put("job/x", v)); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(10 * time.Second)
				if got := value(t, link, "job/x"); got != "3" {
					t.Errorf("the row holds %q", got)
				}
			})
		})
	}
}

// Guards against a former holder that writes after another has taken the seat, and against tokens that don't rise.
func TestFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := fakes.NewTable().Link()
		first := take(t, link, "a")
		second := take(t, link, "b")
		if second.FencingToken() <= first.FencingToken() || second.Term() != first.Term()+1 {
			t.Errorf("fence %d after %d, term %d after %d", second.FencingToken(), first.FencingToken(), second.Term(), first.Term())
		}
		if err := first.Commit(t.Context(), put("job/x", "1")); !errors.Is(err, elect.ErrLost) {
			t.Errorf("former holder's write: %v", err)
		}
		if err := second.Commit(t.Context(), put("job/x", "2")); err != nil {
			t.Error(err)
		}
		if got := value(t, link, "job/x"); got != "2" {
			t.Errorf("the row holds %q", got)
		}
	})
}

// holders notes who holds the seat and when.
type holders struct {
	mu    sync.Mutex
	terms map[string]int
	last  *elect.Leadership
	// ended means that the process of the holder has ended.
	ended bool
}

type holder struct {
	name string
	all  *holders
}

// Lead confirms the seat until it is lost.
func (h holder) Lead(ctx context.Context, t *elect.Leadership) {
	h.all.mu.Lock()
	h.all.terms[h.name]++
	h.all.last = t
	h.all.mu.Unlock()
	for ctx.Err() == nil && t.Commit(ctx, nil) == nil {
		time.Sleep(elect.ConfirmInterval)
	}
}

// rowOnly leaves the elector with the row alone.
type rowOnly struct{}

func (rowOnly) Alive(int64) bool         { return false }
func (rowOnly) ProcessExited(int64) bool { return false }
func (rowOnly) StoreRefused(int64) bool  { return false }

// told are the signs that peers have of a holder which says whether the store refuses it.
type told struct{ all *holders }

func (s told) Alive(term int64) bool { return !s.ProcessExited(term) && !s.StoreRefused(term) }

func (s told) ProcessExited(int64) bool {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return s.all.ended
}

func (s told) StoreRefused(term int64) bool {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return s.all.last != nil && s.all.last.Term() == term && s.all.last.StoreRefusedFor() >= 300*time.Millisecond
}

type election struct {
	all   *holders
	links map[string]*fakes.Link
	ends  map[string]context.CancelFunc

	electors map[string]*elect.Elector
}

func newElection(store *fakes.Table, handicaps map[string]time.Duration) *election {
	return newToldElection(store, handicaps, func(*holders) elect.FailureDetector { return rowOnly{} })
}

func newToldElection(store *fakes.Table, handicaps map[string]time.Duration, signs func(*holders) elect.FailureDetector) *election {
	e := &election{all: &holders{terms: map[string]int{}}, links: map[string]*fakes.Link{}, ends: map[string]context.CancelFunc{},
		electors: map[string]*elect.Elector{}}
	for name, handicap := range handicaps {
		ctx, cancel := context.WithCancel(context.Background())
		e.links[name], e.ends[name] = store.Link(), cancel
		// Processes that start at the same moment may draw the same identity.
		self := elect.Identity{Name: name, Boot: "same", Address: name}
		el := elect.NewElector(e.links[name], self, holder{name, e.all}, signs(e.all), zap.NewNop())
		el.ElectionDelay = handicap
		e.electors[name] = el
		go el.Run(ctx)
	}
	return e
}

func (e *election) total() (n int) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	for _, x := range e.all.terms {
		n += x
	}
	return n
}

func (e *election) of(name string) int {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	return e.all.terms[name]
}

func (e *election) stop() {
	for _, cancel := range e.ends {
		cancel()
	}
	time.Sleep(10 * time.Second)
}

// Guards against a seat that changes hands without need: processes with the same identity took it from each other.
func TestSeatStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(fakes.NewTable(), map[string]time.Duration{"a": 0, "b": 0, "c": 0})
		time.Sleep(time.Minute)
		if n := e.total(); n != 1 {
			t.Errorf("%d holders in a minute without a fault", n)
		}
		e.stop()
	})
}

// Guards against a seat that goes to an unfit instance while a fit one is there.
func TestUnfitWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(fakes.NewTable(), map[string]time.Duration{"weak": time.Second, "fit": 0})
		time.Sleep(time.Minute)
		if weak, fit := e.of("weak"), e.of("fit"); weak > 0 || fit != 1 {
			t.Errorf("the unfit instance held the seat %d times, the fit one %d times", weak, fit)
		}
		e.stop()
	})
}

// Guards against a seat that stays with a holder that the store refuses, and against one that is taken from a holder
// while the store is away for all.
func TestRefusedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(fakes.NewTable(), map[string]time.Duration{"a": 0, "b": time.Second})
		time.Sleep(10 * time.Second)
		for _, l := range e.links {
			l.Set(fakes.Faults{Down: true})
		}
		time.Sleep(20 * time.Second)
		for _, l := range e.links {
			l.Set(fakes.Faults{})
		}
		time.Sleep(10 * time.Second)
		if n := e.total(); n != 1 {
			t.Errorf("%d holders after an outage of the store", n)
		}
		e.links["a"].Set(fakes.Faults{Down: true})
		time.Sleep(10 * time.Second)
		if n := e.of("b"); n != 1 {
			t.Errorf("after the store refused the first holder the other took the seat %d times", n)
		}
		e.stop()
	})
}

// Guards against seconds without service while the store serves all but the holder, which knows it and says so, and
// against a seat that changes hands when the store is back after it was away for all.
func TestHolderSaysThatItIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signs := func(all *holders) elect.FailureDetector { return told{all} }
		e := newToldElection(fakes.NewTable(), map[string]time.Duration{"a": 0, "b": 300 * time.Millisecond}, signs)
		time.Sleep(10 * time.Second)
		for range 5 {
			for _, l := range e.links {
				l.Set(fakes.Faults{Down: true})
			}
			time.Sleep(7 * time.Second)
			for _, l := range e.links {
				l.Set(fakes.Faults{})
			}
			time.Sleep(10 * time.Second)
		}
		if n := e.total(); n != 1 {
			t.Errorf("%d holders after outages of the store", n)
		}
		e.links["a"].Set(fakes.Faults{Down: true})
		// 300 ms of refusals, 400 ms until a beat, 500 ms of stillness seen in looks 250 ms apart, the handicap and 120 ms
		// of jitter.
		const bound = 2100 * time.Millisecond
		for began := time.Now(); time.Since(began) < bound; time.Sleep(400 * time.Millisecond) {
			if (told{e.all}).StoreRefused(1) {
				e.electors["b"].Wake()
			}
		}
		if n := e.of("b"); n != 1 {
			t.Errorf("the other took the seat %d times", n)
		}
		e.stop()
	})
}

// Guards against seconds without service after the holder's process has ended.
func TestEndedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newToldElection(fakes.NewTable(), map[string]time.Duration{"a": 0, "b": 300 * time.Millisecond},
			func(all *holders) elect.FailureDetector { return told{all} })
		time.Sleep(10 * time.Second)
		e.ends["a"]()
		e.all.mu.Lock()
		e.all.ended = true
		e.all.mu.Unlock()
		e.electors["b"].Wake()
		// Up to 250 ms after the poke, 100 ms of stillness seen in looks as far apart, the handicap, 120 ms of jitter.
		time.Sleep(900 * time.Millisecond)
		if n := e.of("b"); n != 1 {
			t.Errorf("the other took the seat %d times", n)
		}
		e.stop()
	})
}
