package matrix

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/plan/upkeep"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/caller"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
	"github.com/yuccahaven/yuccahaven/internal/state/grant"
	"github.com/yuccahaven/yuccahaven/internal/state/member"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	peerToken  = "peers"
	adminToken = "operators"
	// leaveTimeout bounds the return of grants and the removal from the member list, as in serve/node.
	leaveTimeout = 15 * time.Second
)

// Entry is one entry instance, assembled as in serve/node but with in-memory connections.
type Entry struct {
	cluster  *Cluster
	name     string
	process  *process
	listener *listener
	stop     context.CancelFunc

	peers     *peer.Client
	replica   *view.Replica
	registrar *member.Registrar
	grants    *grant.Manager
	records   *claim.Repository
	runner    *runner.Runner
	roster    *roster.Client
	workers   *worker.Client
	host      *port.Host

	mu             sync.Mutex
	coordinator    *alloc.Coordinator
	agent          *alloc.Agent
	stopScheduling context.CancelFunc
	leaving        map[fleet.InstanceID]bool
	isShutDown     bool
}

// newEntry assembles and starts an entry instance.
func (cl *Cluster) newEntry(name string, self fleet.EntryID) *Entry {
	e := &Entry{cluster: cl, name: name, process: &process{end: cl.end}, listener: newListener()}
	over := rest.WithTransport(&transport{e})
	tables := cl.without.table(e, table.NewClient("http://table", over))
	objects := object.NewClient("http://object", over)
	e.roster, e.workers = roster.NewClient("http://roster", over), worker.NewClient(over)
	e.peers = peer.NewClient(peerToken, peer.WithDial(func(ctx context.Context, _, to string) (net.Conn, error) {
		return cl.dial(e, ctx, to)
	}))
	e.replica = view.New(self, tables, cl.without.peers(e, e.peers), decode, view.WithLog(cl.log(name)),
		view.WithSeeds(e.seeds))
	m := fleet.Member{ID: self, Address: name, Caller: name, Zone: "z1"}
	e.registrar = member.New(name, m, e.replica, e.roster, member.WithLog(cl.log(name)),
		member.WithRemoved(e.handleRemoved))
	e.grants = grant.New(self, e.replica, tables, e.peers, grant.WithLog(cl.log(name)))
	e.records = claim.New(func() fleet.EntryID { return e.registrar.Self().ID }, tables, objects,
		claim.WithLog(cl.log(name)))
	e.runner = runner.New(runner.Options{Views: cl.without.views(e.replica), Workers: cl.without.workers(e.workers),
		Grants: cl.without.grants(e.grants), Records: cl.without.records(e.records), Objects: objects,
		Members: e.registrar, Roster: e, Owners: owners{e.peers}, Log: cl.log(name)})
	e.runner.Attach(e)
	e.run()
	return e
}

// log returns the logger of one entry instance.
func (cl *Cluster) log(name string) *zap.Logger { return cl.logger.Named(name) }

func decode(sections []fleet.Section) (fleet.Document, error) {
	d, _ := spec.Decode(sections)
	return d, nil
}

func (e *Entry) run() {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.restartScheduling(ctx, e.registrar.Self().ID)
	planner := upkeep.New(upkeep.Options{Views: e.replica, Prober: e.workers, Platform: e.roster, Leads: e.leads})
	follower := upkeep.NewFollower(upkeep.FollowerOptions{Views: e.replica, Roster: e.roster,
		Leads: func() bool { return e.leads("roster") }, Failed: func() []fleet.InstanceID { return nil }})
	for _, run := range []func(context.Context){e.replica.Run, e.registrar.Run, e.grants.Run, e.records.Run, e.runner.Run,
		e.watchRoster, e.servePeers, planner.Run, follower.Run} {
		go run(ctx)
	}
	e.host = e.cluster.net.Listen(e.name, e.handler())
}

// leads reports whether this entry instance is the highest-ranked live member for a pool.
func (e *Entry) leads(p fleet.PoolName) bool {
	for _, m := range alloc.Rank(e.replica.View().Members(), p) {
		if e.registrar.Alive(m.ID) {
			return m.ID == e.registrar.Self().ID
		}
	}
	return false
}

func (e *Entry) servePeers(ctx context.Context) {
	s := peer.NewServer(peerToken)
	handle(s, e, peer.MethodSync, "sync", e.replica.HandleSync, func(q peer.SyncRequest) fleet.EntryID { return q.From })
	handle(s, e, peer.MethodPush, "push", e.replica.HandlePush, func(q peer.PushRequest) fleet.EntryID { return q.From })
	handle(s, e, peer.MethodNotifyGrants, "nudge", e.grants.HandleNotifyGrants,
		func(q peer.NotifyGrantsRequest) fleet.EntryID { return q.From })
	handle(s, e, peer.MethodPoll, "poll", e.poll, func(q peer.PollRequest) fleet.EntryID { return q.From })
	handle(s, e, peer.MethodTask, "task", e.runner.HandleTask, func(q peer.TaskRequest) fleet.EntryID { return q.From })
	_ = s.Serve(ctx, e.listener)
}

// handle registers a method. The cell's faults apply to its requests as messages of their sender.
func handle[Q, A peer.Message](s *peer.Server, e *Entry, method peer.Method[Q, A], step string,
	f func(context.Context, Q) (A, error), from func(Q) fleet.EntryID) {
	peer.Handle(s, method, func(ctx context.Context, q Q) (A, error) {
		sender := e.cluster.entry(nameOf(from(q)))
		if sender == nil {
			return f(ctx, q)
		}
		m := message{entry: sender, step: "peer." + step, host: e.name}
		a, err := exchange(ctx, e.cluster, m, func(ctx context.Context) (A, error) { return f(ctx, q) })
		if errors.Is(err, syscall.ECONNRESET) {
			e.cluster.eachConn(sender.name, e.name, func(c *conn) { _ = c.Close() })
		}
		return a, err
	})
}

// handler serves callers and operators. A frozen entry instance answers once it is resumed, a dead one never.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	api := caller.New(e.runner, e.cluster.without.views(e.replica)).Handler()
	mux.Handle("/v1/queues/", api)
	mux.Handle("/v1/tasks/", api)
	mux.Handle("/", admin.New(admin.Options{Self: func() fleet.EntryID { return e.registrar.Self().ID }, Viewer: e.replica,
		Editor: e.cluster.without.editor(e.replica), Token: adminToken}))
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if e.process.awaitRunning() != nil {
			panic(http.ErrAbortHandler)
		}
		m := message{entry: e, host: callerHost, step: callerStep(r), target: r.Header.Get("Target") != ""}
		body, err := readBody(r)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		reply, err := exchange(r.Context(), e.cluster, m, func(ctx context.Context) (*httptest.ResponseRecorder, error) {
			return serve(mux, r, ctx, body), nil
		})
		if err != nil || e.process.awaitRunning() != nil {
			panic(http.ErrAbortHandler)
		}
		maps.Copy(rw.Header(), reply.Header())
		rw.WriteHeader(reply.Code)
		_, _ = rw.Write(reply.Body.Bytes())
	})
}

// serve records the reply of a handler, so that it can be delayed or dropped.
func serve(h http.Handler, r *http.Request, ctx context.Context, body []byte) *httptest.ResponseRecorder {
	c, a := r.Clone(ctx), httptest.NewRecorder()
	c.Body = io.NopCloser(bytes.NewReader(body))
	h.ServeHTTP(a, c)
	return a
}

func callerStep(r *http.Request) string {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/queues/"):
		return "caller.submit"
	case r.Method == http.MethodDelete:
		return "caller.cancel"
	case r.Method == http.MethodGet:
		return "caller.poll"
	}
	return "operator.edit"
}

// owners queries other entry instances about tasks.
type owners struct{ peers *peer.Client }

// Task implements runner.Owners.
func (o owners) Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error) {
	return peer.Call(ctx, o.peers, address, peer.MethodTask, q)
}

func (e *Entry) seeds(ctx context.Context) ([]string, error) {
	listings, err := e.roster.List(ctx)
	var addresses []string
	for _, l := range listings {
		if l.Kind == roster.Entry && l.State == roster.Live {
			addresses = append(addresses, l.Address)
		}
	}
	return addresses, err
}

// handleRemoved drops the tasks and grants of a removed incarnation, as serve/node does.
func (e *Entry) handleRemoved(ctx context.Context, next fleet.EntryID) {
	e.cluster.note("%s was removed", e.name)
	e.runner.AbandonAll()
	e.runner.AwaitEnd(ctx)
	e.grants.Reset(next)
	e.restartScheduling(ctx, next)
}

func (e *Entry) restartScheduling(ctx context.Context, self fleet.EntryID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopScheduling != nil {
		e.stopScheduling()
	}
	ctx, e.stopScheduling = context.WithCancel(ctx)
	e.coordinator = alloc.NewCoordinator(self, e.replica, e.workers)
	e.agent = alloc.NewAgent(self, e.replica, e.runner, e.coordinator, alloc.PeerPoller{Client: e.peers})
	go e.coordinator.Run(ctx)
	go e.agent.Run(ctx)
}

func (e *Entry) current() (*alloc.Coordinator, *alloc.Agent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator, e.agent
}

func (e *Entry) poll(ctx context.Context, q peer.PollRequest) (peer.PollReply, error) {
	c, _ := e.current()
	return c.Poll(ctx, q)
}

// RequestPoll implements runner.Coordinators.
func (e *Entry) RequestPoll(p fleet.PoolName) {
	_, a := e.current()
	a.RequestPoll(p)
}

// Estimates implements runner.Coordinators.
func (e *Entry) Estimates(p fleet.PoolName) []peer.Estimate {
	_, a := e.current()
	return a.Estimates(p)
}

// Leaving implements runner.Roster.
func (e *Entry) Leaving(id fleet.InstanceID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving[id]
}

// watchRoster polls the roster for workers that are leaving.
func (e *Entry) watchRoster(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		if listings, err := e.roster.List(ctx); err == nil {
			leaving := map[fleet.InstanceID]bool{}
			for _, l := range listings {
				leaving[l.ID] = l.State == roster.Leaving
			}
			e.mu.Lock()
			e.leaving = leaving
			e.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// shutDown shuts the entry instance down gracefully, as serve/node does.
func (e *Entry) shutDown() {
	_ = e.runner.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = e.grants.Return(ctx)
	_ = e.registrar.Leave(ctx)
	e.stop()
	e.mu.Lock()
	e.isShutDown = true
	e.mu.Unlock()
	e.cluster.note("%s has shut down", e.name)
	e.host.Refuse()
}

// awaitShutdown waits until the entry instance has shut down, its process is killed or the cell has ended.
func (e *Entry) awaitShutdown() {
	for !e.hasShutDown() && !e.process.isDead() && !e.cluster.hasEnded() {
		time.Sleep(100 * time.Millisecond)
	}
}

func (e *Entry) hasShutDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isShutDown
}
