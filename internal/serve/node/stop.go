package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// answerTime is how long the last answers may take to be written after their tasks have ended.
	answerTime = 30 * time.Second
	// leaveTime bounds the return of grants and the removal from the members. Without them the others remove this
	// instance, and its grants return later.
	leaveTime = 15 * time.Second
)

// shutDown ends readiness, gives the load balancer time, lets queued and running work finish, and leaves.
func (n *Node) shutDown(s *http.Server) {
	n.log.Info("node: shutting down")
	n.stopping.Store(true)
	time.Sleep(n.settings.pause)
	if err := n.runner.Drain(context.Background()); err != nil {
		n.log.Warn("node: work not finished", zap.Error(err))
	}
	n.log.Info("node: work finished")
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if err := n.connections.shutDown(ctx, s); err != nil {
		n.log.Warn("node: answers not finished", zap.Error(err))
	}
	n.log.Info("node: answers written")
	n.leave()
	n.log.Info("node: stopped")
}

func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := n.book.Return(ctx); err != nil {
		n.log.Warn("node: grants not returned", zap.Error(err))
	}
	n.log.Info("node: grants returned")
	if err := n.registrar.Leave(ctx); err != nil {
		n.log.Warn("node: still listed as a member", zap.Error(err))
	}
}
