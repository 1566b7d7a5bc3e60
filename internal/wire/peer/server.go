package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"

	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"
)

// ErrWrongToken is returned to a peer that does not send the token.
var ErrWrongToken = errors.New("peer: wrong token")

// Server answers the calls of peers.
type Server struct {
	token    string
	log      *zap.Logger
	handlers map[string]func(drpc.Stream) error
}

// ServerOption sets an option of a Server.
type ServerOption func(*Server)

// WithLog sets the log of handlers that panic.
func WithLog(l *zap.Logger) ServerOption { return func(s *Server) { s.log = l } }

// NewServer returns a server that requires a token with every call.
func NewServer(token string, options ...ServerOption) *Server {
	s := &Server{token: token, log: zap.NewNop(), handlers: map[string]func(drpc.Stream) error{}}
	for _, o := range options {
		o(s)
	}
	return s
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

// errPanic is returned to the peer whose call made a handler panic.
var errPanic = errors.New("peer: internal error")

// HandleRPC implements drpc.Handler. A handler that panics fails its call only.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("peer: handler panicked, answering with an internal error", zap.String("method", rpc),
				zap.Any("panic", p), zap.Stack("stack"))
			err = errPanic
		}
	}()
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
