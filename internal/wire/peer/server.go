package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"
)

// ErrWrongToken is returned to a peer that does not send the token.
var ErrWrongToken = errors.New("peer: wrong token")

// Server answers the calls of peers.
type Server struct {
	token    string
	handlers map[string]func(drpc.Stream) error
}

// NewServer returns a server that requires a token with every call.
func NewServer(token string) *Server {
	return &Server{token: token, handlers: map[string]func(drpc.Stream) error{}}
}

// Handle registers the handler of a method; it must be called before Serve.
func Handle[Q, A Message](s *Server, m Method[Q, A], f func(context.Context, Q) (A, error)) {
	s.handlers[string(m)] = func(stream drpc.Stream) error {
		var q Q
		if err := stream.MsgRecv(&q, codec{}); err != nil {
			return err
		}
		a, err := f(stream.Context(), q)
		if err != nil {
			return err
		}
		return stream.MsgSend(&a, codec{})
	}
}

// Serve answers calls on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	options := drpcserver.Options{Manager: managerOptions()}
	return drpcserver.NewWithOptions(s, options).Serve(ctx, l)
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if !s.isAuthorized(stream.Context()) {
		return ErrWrongToken
	}
	handle, ok := s.handlers[rpc]
	if !ok {
		return fmt.Errorf("peer: unknown method %q", rpc)
	}
	return handle(stream)
}

func (s *Server) isAuthorized(ctx context.Context) bool {
	metadata, _ := drpcmetadata.Get(ctx)
	return subtle.ConstantTimeCompare([]byte(metadata[tokenKey]), []byte(s.token)) == 1
}
