package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

func addWorker(app *kingpin.Application) command {
	c := app.Command("worker", "Serve a simulated worker.")
	id := c.Flag("id", "Instance id.").Required().String()
	zone := c.Flag("zone", "Availability zone.").Default("a").String()
	rack := c.Flag("rack", "Rack.").Default("r1").String()
	slots := c.Flag("slots", "Slots.").Default(fmt.Sprint(worker.DefaultSlots)).Int()
	listen := c.Flag("listen", "Address of the worker.").Default("127.0.0.1:0").String()
	control := c.Flag("control", "Address of the control endpoint.").Default("127.0.0.1:0").String()
	journal := c.Flag("journal", "File to append the journal to.").Default(os.DevNull).String()
	roster := c.Flag("roster-control", "URL of the control endpoint of the store whose roster lists the worker.").String()
	boot := c.Flag("boot-time", "Duration of a reboot.").Default(worker.DefaultBootTime.String()).Duration()
	return command{c, func(ctx context.Context, _ io.Writer, log *zap.Logger) error {
		f, err := os.OpenFile(*journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("worker: journal: %w", err)
		}
		defer func() { _ = f.Close() }()
		sink := record.NewLines[record.Journal](f)
		w := worker.New(workerListing(*id, *zone, *rack, *slots), sink, worker.WithBootTime(*boot))
		if err := serveWorker(ctx, w, *listen, *control, *roster, log); err != nil {
			return err
		}
		return sink.Err()
	}}
}

func workerListing(id, zone, rack string, slots int) roster.Listing {
	return roster.Listing{ID: fleet.InstanceID(id), Zone: fleet.AvailabilityZone(zone), Rack: rack, Slots: slots}
}

func serveWorker(ctx context.Context, w *worker.Worker, listen, control, rosterURL string, log *zap.Logger) error {
	p, err := w.Listen(listen)
	if err != nil {
		return err
	}
	defer p.Refuse()
	s, err := port.Listen(control, 0, w.Control())
	if err != nil {
		return err
	}
	defer s.Refuse()
	log.Info("worker: serving", zap.String("address", p.Address()), zap.String("control", s.Address()))
	if rosterURL != "" {
		q := rest.Request{Method: http.MethodPost, Path: store.PathInstances, In: w.Listing()}
		if err := rest.NewCaller(rosterURL).JSON(ctx, q, nil); err != nil {
			return fmt.Errorf("worker: add to roster: %w", err)
		}
	}
	<-ctx.Done()
	return nil
}
