package bench

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
)

func addStore(app *kingpin.Application) command {
	c := app.Command("store", "Serve the simulated table service, object store and roster.")
	address := map[store.Service]*string{
		store.Table:  c.Flag("table", "Address of the table service.").Default("127.0.0.1:7101").String(),
		store.Object: c.Flag("object", "Address of the object store.").Default("127.0.0.1:7102").String(),
		store.Roster: c.Flag("roster", "Address of the roster.").Default("127.0.0.1:7103").String(),
	}
	control := c.Flag("control", "Address of the control endpoint.").Default("127.0.0.1:7104").String()
	writes := c.Flag("writes", "Maximum writes per second; 0 is unlimited.").Default("0").Int()
	reads := c.Flag("reads", "Maximum reads per second; 0 is unlimited.").Default("0").Int()
	lag := c.Flag("lag", "Time after which the roster lists a change.").Default("2s").Duration()
	return command{c, func(ctx context.Context, _ io.Writer, log *zap.Logger) error {
		s := store.New(store.WithLimits(*writes, *reads), store.WithLag(*lag))
		for v, a := range address {
			p, err := s.Listen(v, *a)
			if err != nil {
				return err
			}
			defer p.Refuse()
			log.Info("store: serving", zap.String("service", string(v)), zap.String("address", p.Address()))
		}
		p, err := port.Listen(*control, 0, s.Control())
		if err != nil {
			return err
		}
		defer p.Refuse()
		log.Info("store: serving control endpoint", zap.String("address", p.Address()))
		<-ctx.Done()
		return nil
	}}
}
