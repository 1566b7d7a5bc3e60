package fakes

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// errCut is what a caller sees when nothing listens at an address.
var errCut = errors.New("fakes: connection refused")

// Node answers the calls of peers; a nil function refuses its calls.
type Node struct {
	Sync         func(context.Context, peer.SyncRequest) (peer.SyncReply, error)
	Push         func(context.Context, peer.PushRequest) (peer.PushReply, error)
	NotifyGrants func(context.Context, peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error)
}

// Net connects nodes in memory.
type Net struct {
	mu    sync.Mutex
	nodes map[string]Node
	cut   map[[2]string]bool
	delay time.Duration
}

// NewNet returns a network whose calls take a time.
func NewNet(delay time.Duration) *Net {
	return &Net{nodes: map[string]Node{}, cut: map[[2]string]bool{}, delay: delay}
}

// Listen puts a node at an address in place of the one before.
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

// SetDelay sets the time of a call.
func (n *Net) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Cut makes calls between two addresses hang until their context ends; with on false they work again.
func (n *Net) Cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = on, on
}

// Isolate cuts an address from all others, or connects it again.
func (n *Net) Isolate(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.nodes {
		n.cut[[2]string{address, other}], n.cut[[2]string{other, address}] = on, on
	}
}

// Caller calls nodes from an address.
type Caller struct {
	net  *Net
	from string
}

// From returns the calls that come from an address.
func (n *Net) From(address string) *Caller { return &Caller{n, address} }

// Sync calls a node.
func (c *Caller) Sync(ctx context.Context, to string, q peer.SyncRequest) (peer.SyncReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.SyncRequest) (peer.SyncReply, error) { return n.Sync })
}

// Push calls a node.
func (c *Caller) Push(ctx context.Context, to string, q peer.PushRequest) (peer.PushReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.PushRequest) (peer.PushReply, error) { return n.Push })
}

// NotifyGrants calls a node.
func (c *Caller) NotifyGrants(ctx context.Context, to string, q peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
	return call(ctx, c, to, q, func(n Node) func(context.Context, peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
		return n.NotifyGrants
	})
}

func call[Q, A any](ctx context.Context, c *Caller, to string, q Q, pick func(Node) func(context.Context, Q) (A, error)) (A, error) {
	var none A
	node, cut, delay := c.net.node(c.from, to)
	f := pick(node)
	if cut {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if f == nil {
		return none, errCut
	}
	if !sleep(ctx, delay/2) {
		return none, ctx.Err()
	}
	a, err := f(ctx, q)
	if _, cut, _ = c.net.node(c.from, to); cut {
		<-ctx.Done()
	}
	if !sleep(ctx, delay-delay/2) {
		return none, ctx.Err()
	}
	return a, err
}

func (n *Net) node(from, to string) (node Node, cut bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[to], n.cut[[2]string{from, to}], n.delay
}
