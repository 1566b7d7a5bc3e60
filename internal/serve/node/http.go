package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/serve/caller"
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
		caller.WithBodyTimeout(n.settings.bodyTimeout), caller.WithObserver(observer{n.burn, n.keeper}),
		caller.WithMemory(n.memory)).Handler()
	mux.Handle("/v1/queues/", api)
	mux.Handle("/v1/tasks/", api)
	mux.Handle("/", n.admin)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, BaseContext: func(net.Listener) context.Context { return life },
		ConnState: n.connections.track, ErrorLog: zap.NewStdLog(n.part("http"))}
}
