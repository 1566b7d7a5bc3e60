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

// Guards against instances that refuse everything for as long as the store does not serve them, because they don't
// learn who has taken the seat meanwhile.
func TestAnnouncer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewTable()
		// Rows that can't be read must not keep the others from being told.
		for key, value := range map[string]string{"host/x": "?", "host/y": "\xa0"} {
			_, err := store.Link().Commit(t.Context(), table.Transaction{Writes: []table.Write{{Key: key, Value: []byte(value)}}})
			if err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		told := map[string]int{}
		holds := false
		var loops sync.WaitGroup
		for _, name := range []string{"a", "b", "c", "d"} {
			an := &elect.Announcer{
				Store: store.Link(), Self: elect.Identity{Name: name, Boot: name + ".1", Address: name + ":1"}, Log: zap.NewNop(),
				Leader: func() (elect.LeaderRecord, bool) {
					mu.Lock()
					defer mu.Unlock()
					return elect.LeaderRecord{Name: "a", Boot: "a.1", Address: "a:1", Term: 2}, holds && name == "a"
				},
				HeardRecently: func(name string) bool { return name == "b" },
				AnnounceLeader: func(_ context.Context, address string, s elect.LeaderRecord) error {
					mu.Lock()
					defer mu.Unlock()
					if s.Term != 2 || s.Address != "a:1" {
						t.Errorf("announced %+v", s)
					}
					told[address]++
					if address == "d:1" {
						return errors.New("refused")
					}
					return nil
				},
			}
			loops.Go(func() { an.Run(ctx) })
		}
		count := func(address string) int {
			mu.Lock()
			defer mu.Unlock()
			return told[address]
		}
		time.Sleep(5 * time.Second)
		if len(told) > 0 {
			t.Errorf("announced without the seat: %v", told)
		}
		mu.Lock()
		holds = true
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if count("c:1") != 1 || count("d:1") != 1 {
			t.Errorf("soon after the seat was taken: %v", told)
		}
		time.Sleep(10 * time.Second)
		if n := count("c:1"); n < 4 || n > 6 {
			t.Errorf("%d announcements to an instance that is not heard, in 10 s", n)
		}
		if n := count("d:1"); n < 2 || n > 3 {
			t.Errorf("%d announcements to an instance that is not reached, in 10 s", n)
		}
		if count("a:1") > 0 || count("b:1") > 0 {
			t.Errorf("announced to itself or to an instance that beats: %v", told)
		}
		cancel()
		loops.Wait()
	})
}
