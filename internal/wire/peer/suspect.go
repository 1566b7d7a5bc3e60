package peer

import (
	"context"
	"errors"
	"fmt"

	"storj.io/drpc/drpcmetadata"
)

// MethodSuspect asks a peer whether it can reach the leader.
const MethodSuspect Method[SuspectRequest, SuspectReply] = "/yuccahaven.Peer/Suspect"

// maxDesignated bounds the successors and the witnesses in a heartbeat reply.
const maxDesignated = 16

// Peer names an instance and the address at which peers reach it.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// SuspectRequest names the leader that does not answer the caller.
type SuspectRequest struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
	Term    int64  `json:"term"`
}

// SuspectReply states the latest term that the peer knows, and whether the leader answered the peer's probe.
type SuspectReply struct {
	Term    int64 `json:"term"`
	Reached bool  `json:"reached"`
}

// Validate returns an error for an invalid message.
func (q SuspectRequest) Validate() error {
	if q.Boot == "" || q.Address == "" || q.Term < 1 {
		return errors.Join(ErrInvalidMessage, errors.New("suspicion without a boot, address or term"))
	}
	return nil
}

// Validate returns an error for an invalid message.
func (a SuspectReply) Validate() error {
	if a.Term < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("reply to a suspicion with a negative term"))
	}
	return nil
}

// checkDesignated returns an error for peers that a leader does not designate.
func checkDesignated(lists ...[]Peer) error {
	for _, list := range lists {
		if len(list) > maxDesignated {
			return fmt.Errorf("%w: %d designated peers", ErrInvalidMessage, len(list))
		}
		for _, p := range list {
			if p.Name == "" || p.Address == "" {
				return fmt.Errorf("%w: designated peer without a name or address", ErrInvalidMessage)
			}
		}
	}
	return nil
}

// CallNew is Call over a connection of its own. A pooled connection may be silent because its messages are lost, although the
// peer answers new ones.
func CallNew[Q, A Message](ctx context.Context, c *Client, address string, m Method[Q, A], q Q) (A, error) {
	var a A
	conn, err := c.connect(ctx, address)
	if err != nil {
		return a, fmt.Errorf("peer: %s at %s: %w", string(m), address, err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.Invoke(drpcmetadata.Add(ctx, tokenKey, c.token), string(m), codec{}, &q, &a); err != nil {
		return a, fmt.Errorf("peer: %s at %s: %w", string(m), address, err)
	}
	return a, nil
}
