package leader

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// lists answers requests for the list of machines in turn; a nil list is an error. It makes no changes.
type lists struct {
	Machines
	replies [][]Machine
}

func (l *lists) List(context.Context) ([]Machine, error) {
	reply := l.replies[0]
	l.replies = l.replies[1:]
	if reply == nil {
		return nil, errors.New("too many requests")
	}
	return reply, nil
}

// Guards against more machines away at once than a wave's cap: a list that could not be read made the one before the
// maintenance count as new, in which the machines were still up (LIMIT in a hunt).
func TestFailedListShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := []Machine{{Name: "m", Pool: "p", Up: true}}
		s := &session{log: zap.NewNop(), board: engine.New(engine.DefaultOptions(), 1, nil),
			toPlan: make(chan struct{}, 1), toCommit: make(chan struct{}, 1),
			master: &Service{Options: Options{Machines: &lists{replies: [][]Machine{up, nil, up}}, Log: zap.NewNop(),
				Moves: MoveOptions{Maintenance: 2 * time.Second}}}}
		m := &mover{session: s, machines: map[string]Machine{}, errands: map[string]*errand{}}
		look := func() {
			m.refresh(t.Context())
			synctest.Wait()
			m.settle()
		}
		look()
		m.errands["m"] = &errand{machine: "m", wave: 1, begun: time.Now()}
		time.Sleep(3 * time.Second)
		look()
		if len(m.errands) != 1 {
			t.Error("a list that could not be read shows the machine as back")
		}
		time.Sleep(time.Second)
		look()
		if len(m.errands) != 0 {
			t.Error("the machine is not seen as back")
		}
	})
}
