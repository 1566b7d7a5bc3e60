package elect

import (
	"context"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Instances reads the rows of all instances, also of those that no longer exist.
func Instances(ctx context.Context, store table.Table, log *zap.Logger) ([]Identity, error) {
	byName, err := (&Announcer{Store: store, Log: log}).listInstances(ctx)
	if err != nil {
		return nil, err
	}
	var list []Identity
	for _, i := range byName {
		list = append(list, i)
	}
	return list, nil
}
