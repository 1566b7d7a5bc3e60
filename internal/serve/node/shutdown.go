package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// responseTimeout bounds the writing of the last answers after their tasks have ended.
	responseTimeout = 30 * time.Second
	// leaveTimeout bounds the return of grants and the removal from the members. If they fail, the other entry
	// instances remove this one, and its grants become free later.
	leaveTimeout = 15 * time.Second
)

// shutDown reports not ready, waits for the load balancer to notice, lets queued and running work finish, waits until
// the answers are written, returns the grants and leaves the members. A step that fails is logged and doesn't stop the
// others.
func (n *Node) shutDown(s *http.Server) {
	n.log.Info("node: shutting down")
	n.stopping.Store(true)
	time.Sleep(n.settings.balancerPause)
	if err := n.runner.Drain(context.Background()); err != nil {
		n.log.Warn("node: draining failed, shutting down with unfinished work", zap.Error(err))
	}
	n.log.Info("node: work finished")
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	if err := n.connections.shutDown(ctx, s); err != nil {
		n.log.Warn("node: HTTP server shutdown failed, some answers may be incomplete", zap.Error(err))
	}
	n.log.Info("node: answers written")
	n.leave()
	n.log.Info("node: stopped")
}

func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.grants.Return(ctx); err != nil {
		n.log.Warn("node: returning grants failed, they become free later", zap.Error(err))
	}
	n.log.Info("node: grants returned")
	if err := n.registrar.Leave(ctx); err != nil {
		n.log.Warn("node: leaving the members failed, the other entry instances will remove this one", zap.Error(err))
	}
}
