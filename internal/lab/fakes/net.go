package fakes

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// errRefused is returned when no node listens at an address.
var errRefused = errors.New("fakes: connection refused")

// Node handles the calls of peers; calls of a nil function are refused.
type Node struct {
	Sync         func(context.Context, peer.SyncRequest) (peer.SyncReply, error)
	Push         func(context.Context, peer.PushRequest) (peer.PushReply, error)
	NotifyGrants func(context.Context, peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error)
}

// Net is an in-memory network between nodes.
type Net struct {
	mu    sync.Mutex
	nodes map[string]Node
	cut   map[[2]string]bool
	delay time.Duration
}

// NewNet returns a network whose calls take the given delay.
func NewNet(delay time.Duration) *Net {
	return &Net{nodes: map[string]Node{}, cut: map[[2]string]bool{}, delay: delay}
}

// Listen registers a node at an address and replaces the one before.
func (n *Net) Listen(address string, node Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// Close removes the node at an address.
func (n *Net) Close(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, address)
}

// SetDelay sets the delay of a call; half of it passes before the node handles the call.
func (n *Net) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Cut partitions two addresses, so that calls between them hang until their context ends, or connects them again.
func (n *Net) Cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = on, on
}

// Isolate partitions an address from all addresses that have a node now, or connects it to them again.
func (n *Net) Isolate(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		n.cut[[2]string{address, other}], n.cut[[2]string{other, address}] = on, on
	}
}

// Caller is the client of one address.
type Caller struct {
	net  *Net
	from string
}

// From returns a client that calls from an address.
func (n *Net) From(address string) *Caller { return &Caller{n, address} }

// Sync calls the node at an address.
func (c *Caller) Sync(ctx context.Context, to string, q peer.SyncRequest) (peer.SyncReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.SyncRequest) (peer.SyncReply, error) { return n.Sync })
}

// Push calls the node at an address.
func (c *Caller) Push(ctx context.Context, to string, q peer.PushRequest) (peer.PushReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.PushRequest) (peer.PushReply, error) { return n.Push })
}

// NotifyGrants calls the node at an address.
func (c *Caller) NotifyGrants(ctx context.Context, to string, q peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
		return n.NotifyGrants
	})
}

func call[Q, A any](ctx context.Context, c *Caller, to string, q Q,
	handlerOf func(Node) func(context.Context, Q) (A, error)) (A, error) {
	var none A
	node, cut, delay := c.net.route(c.from, to)
	f := handlerOf(node)
	if cut {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if f == nil {
		return none, errRefused
	}
	if !sleep(ctx, delay/2) {
		return none, ctx.Err()
	}
	a, err := f(ctx, q)
	if _, cut, _ = c.net.route(c.from, to); cut {
		<-ctx.Done()
	}
	if !sleep(ctx, delay-delay/2) {
		return none, ctx.Err()
	}
	return a, err
}

func (n *Net) route(from, to string) (node Node, cut bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to], n.cut[[2]string{from, to}], n.delay
}
