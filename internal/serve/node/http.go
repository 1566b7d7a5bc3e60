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
	// headerTimeout bounds how long a caller may take to send the request headers.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// newHTTPServer returns the HTTP server for callers and operators; request contexts derive from ctx.
func (n *Node) newHTTPServer(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	api := caller.New(n.runner, n.replica, caller.WithLog(n.logger("caller")), caller.WithRegistry(n.registry),
		caller.WithBodyTimeout(n.settings.bodyTimeout), caller.WithObserver(burnObserver{n.burn, n.replica}),
		caller.WithMemory(n.memory)).Handler()
	mux.Handle("/v1/queues/", api)
	mux.Handle("/v1/tasks/", api)
	mux.Handle("/", n.admin)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, BaseContext: func(net.Listener) context.Context { return ctx },
		ConnState: n.connections.track, ErrorLog: zap.NewStdLog(n.logger("http"))}
}
