package peer

import (
	"context"
	"fmt"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
)

// StreamMethod is the name of a call with a stream of messages in each direction: Q from the caller, A from the called
// instance.
type StreamMethod[Q, A Message] string

// Stream sends messages of one type and receives those of another. Send and Receive may be called concurrently with each
// other and with Close, but not with themselves.
type Stream[S, R Message] struct {
	stream drpc.Stream
	// connection is closed with the stream; it is nil at the called instance, whose handler ends the stream.
	connection io.Closer
}

// Send sends a message. It blocks while the receiver does not keep up.
func (s *Stream[S, R]) Send(m S) error { return s.stream.MsgSend(&m, codec{}) }

// Receive waits for the next message. It returns an error after the stream has ended and for an invalid message.
func (s *Stream[S, R]) Receive() (R, error) {
	var m R
	err := s.stream.MsgRecv(&m, codec{})
	return m, err
}

// Close ends the stream with its connection, so that blocked calls return.
func (s *Stream[S, R]) Close() error {
	if s.connection == nil {
		return s.stream.Close()
	}
	return s.connection.Close()
}

// Open opens a stream to the peer at an address over a new connection, since an idle one may have become unresponsive.
// The stream ends with the context.
func Open[Q, A Message](ctx context.Context, c *Client, address string, m StreamMethod[Q, A]) (*Stream[Q, A], error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("peer: %s at %s: %w", string(m), address, err)
	}
	stream, err := conn.NewStream(drpcmetadata.Add(ctx, tokenKey, c.token), string(m), codec{})
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("peer: %s at %s: %w", string(m), address, err)
	}
	return &Stream[Q, A]{stream: stream, connection: conn}, nil
}

// HandleStream registers the handler of a stream method; it must be called before Serve. The stream ends when the
// handler returns, and the handler's context with the stream.
func HandleStream[Q, A Message](s *Server, m StreamMethod[Q, A], f func(context.Context, *Stream[A, Q]) error) {
	s.handlers[string(m)] = func(stream drpc.Stream) error {
		return f(stream.Context(), &Stream[A, Q]{stream: stream})
	}
}
