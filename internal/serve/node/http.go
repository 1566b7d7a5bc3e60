package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/serve/caller"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// headerTimeout bounds the time in which a caller must send its request's headers.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// server returns the HTTP server for callers and operators; life ends its requests' contexts.
func (n *Node) server(life context.Context) *http.Server {
	mux := http.NewServeMux()
	api := caller.New(n.runner, n.keeper, caller.WithLog(n.part("caller")), caller.WithRegistry(n.registry),
		caller.WithBodyTimeout(n.settings.bodyTimeout)).Handler()
	mux.Handle("/v1/queues/", api)
	mux.Handle("/v1/tasks/", api)
	mux.Handle("/", n.operators())
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, BaseContext: func(net.Listener) context.Context { return life },
		ErrorLog: zap.NewStdLog(n.part("http"))}
}

// operators returns the handler for operators, health and metrics.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (n *Node) handleStatus(*peer.Server) {}

var errShuttingDown = errors.New("shutting down")

// ready says why this instance should get no requests, or nil.
func (n *Node) ready() error {
	switch {
	case n.stopping.Load():
		return errShuttingDown
	case !n.registrar.Registered():
		return errors.New("not registered")
	}
	return n.keeper.Fresh()
}
