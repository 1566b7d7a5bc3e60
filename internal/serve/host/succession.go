package host

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// takeoverSamples is the number of takeovers whose duration is kept.
const takeoverSamples = 128

// takeoverTime returns the histogram of the time from the last sign of life of a lost leader to the takeover.
func takeoverTime(r metrics.Registry) metrics.Histogram {
	h := r.GetOrRegister("takeover_ms", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(takeoverSamples))
	})
	return h.(metrics.Histogram)
}

// instances reads the instances known to the store.
func (h *Host) instances(ctx context.Context) ([]peer.Peer, error) {
	list, err := elect.Instances(ctx, h.Leader.Store, h.Log)
	if err != nil {
		return nil, err
	}
	var peers []peer.Peer
	for _, i := range list {
		peers = append(peers, peer.Peer{Name: i.Name, Address: i.Address})
	}
	return peers, nil
}
