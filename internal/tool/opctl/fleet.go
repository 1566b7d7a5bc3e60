package opctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/serve/host"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// fleetTimeout bounds one request of the command "fleet".
const fleetTimeout = 3 * time.Second

func (t *tool) registerFleet(app *kingpin.Application) {
	c := app.Command("fleet", "Show who leads the instances of a platform, its relays, pools and reserve.")
	address := c.Arg("address", "metrics address of any instance, HOST:PORT").Required().String()
	asJSON := c.Flag("json", "Print JSON.").Bool()
	c.Action(func(*kingpin.ParseContext) error { return t.fleet(*address, *asJSON) })
}

// fleet prints the status of the leader, found through the instance at an address.
func (t *tool) fleet(address string, asJSON bool) error {
	s, err := readFleet(address)
	if err != nil {
		return err
	}
	if s.Leading == nil && s.Known.Address != "" {
		there, err := metricsOf(s.Known.Address, address)
		if err != nil {
			return fail(ExitUnreachable, "leader's address %q: %v", s.Known.Address, err)
		}
		t.note("%s (%s) knows %s as the leader of term %d\n", s.Name, s.Zone, s.Known.Name, s.Known.Term)
		if s, err = readFleet(there); err != nil {
			return err
		}
	}
	if asJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	if s.Leading == nil {
		t.printInstance(s)
		return fail(ExitRefused, "%s does not lead; no leader is known, or it changes just now", s.Name)
	}
	t.printInstance(s)
	t.printLeading(*s.Leading)
	return nil
}

func readFleet(address string) (host.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	var s host.Status
	err := rest.NewCaller("http://"+address, rest.WithTimeout(fleetTimeout)).JSON(ctx,
		rest.Request{Method: http.MethodGet, Path: "/status"}, &s)
	if p := (*rest.Problem)(nil); errors.As(err, &p) {
		return s, fail(ExitUnreachable, "%s answers with status %d; is it a metrics address?", address, p.Status)
	}
	if err != nil {
		return s, fail(ExitUnreachable, "%s: %v", address, err)
	}
	return s, nil
}

// metricsOf returns the metrics address of an instance, whose ports are the same as those of the one that was asked.
func metricsOf(peers, asked string) (string, error) {
	ip, _, err := net.SplitHostPort(peers)
	if err != nil {
		return "", err
	}
	_, port, err := net.SplitHostPort(asked)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, port), nil
}

func (t *tool) printInstance(s host.Status) {
	t.print("%s (%s), config %d, term %d\n", s.Name, s.Zone, s.Config, s.Known.Term)
	t.print("processor %.2f of %.2f cores, %s; runs %.1f times slower than at its best\n", s.Cores, s.Share, reserve(s),
		s.Slowdown)
}

// reserve describes how much more work the process could do.
func reserve(s host.Status) string {
	if s.Cores <= 0 || s.Share <= 0 {
		return "reserve unknown"
	}
	return fmt.Sprintf("reserve %.1f times", s.Share/s.Cores)
}

func (t *tool) printLeading(r leader.Report) {
	t.print("authority %d ms, %d peers, a heartbeat every %d ms\n", r.AuthorityMS, r.Peers, r.HeartbeatMS)
	t.print("jobs %d unfinished, tasks %d waiting, %d runs on %d workers (%d unresponsive), starts %d of %d outstanding\n",
		r.Load.Unfinished, r.Load.Waiting, r.Load.Runs, r.Load.Workers, r.Load.Unresponsive, r.Load.OutstandingStarts,
		r.Load.StartLimit)
	t.print("first start after %.0f ms (median), %.0f ms (95 of 100)\n\n", r.Starts.MedianMS, r.Starts.P95MS)
	c := &client{tool: t}
	c.printTable(func(row func(string, ...any)) {
		row("RELAY\tZONE\tWORKERS\tSTATE\tOUTSTANDING")
		for _, x := range r.Relays {
			state := "up"
			if !x.Up {
				state = "down"
			}
			row("%s\t%s\t%d\t%s\t%d", x.Name, x.Zone, x.Workers, state, x.Outstanding)
		}
		row("(leader)\t\t%d\t\t", r.Direct)
	})
	t.print("\n")
	c.printTable(func(row func(string, ...any)) {
		row("POOL\tMACHINES\tCORES\tREQUIRED\tBURST")
		for _, p := range r.Pools {
			row("%s\t%d\t%.0f\t%.0f\t%t", p.Pool, p.Machines, p.CPU, p.Required, p.Bursting)
		}
	})
}
