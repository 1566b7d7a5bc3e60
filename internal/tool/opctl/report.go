package opctl

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
)

func (t *tool) registerReports(app *kingpin.Application) {
	status := app.Command("status", "Show entry instances, pools, availability zones and teams.")
	s := t.flags(status)
	status.Action(func(*kingpin.ParseContext) error { return s.status(s.printStatus) })

	report := app.Command("burn", "Show how fast the queues use up their error budgets.")
	b := t.flags(report)
	report.Action(func(*kingpin.ParseContext) error { return b.burn() })

	audit := app.Command("audit", "Show who changed what, oldest first.")
	a := t.flags(audit)
	after := audit.Flag("after", "Show changes after this revision.").Default("0").Uint64()
	limit := audit.Flag("limit", "Show at most this many changes.").Default("100").Int()
	audit.Action(func(*kingpin.ParseContext) error { return a.audit(*after, *limit) })
}

func (c *client) status(printText func(admin.Status)) error {
	res, err := c.do(request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return err
	}
	return printResponse(c, res, printText)
}

func (c *client) readStatus() (admin.Status, error) {
	var s admin.Status
	err := c.withoutJSON().status(func(x admin.Status) { s = x })
	return s, err
}

// printTable prints rows with aligned columns; the cells of a row are separated by tabs.
func (c *client) printTable(rows func(row func(format string, args ...any))) {
	w := tabwriter.NewWriter(c.tool.out, 0, 0, 2, ' ', 0)
	rows(func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
	_ = w.Flush()
}

func (c *client) printStatus(s admin.Status) {
	c.tool.print("revision %d\n\n", s.Revision)
	c.printEntries(s)
	c.printFindings(s)
	c.printPools(s)
	c.printZones(s)
	c.printTeams(s)
}

func (c *client) printEntries(s admin.Status) {
	c.printTable(func(row func(string, ...any)) {
		row("ENTRY\tZONE\tREVISION\tSTATE")
		for _, e := range s.Entries {
			state := "fresh"
			switch {
			case !e.Reachable:
				state = "no answer"
			case !e.Fresh:
				state = "stale, starts no tasks"
			}
			row("%s\t%s\t%d\t%s", e.Entry, e.Zone, e.Revision, state)
		}
	})
	c.tool.print("\n")
}

func (c *client) printFindings(s admin.Status) {
	for _, e := range s.Entries {
		for _, f := range e.Findings {
			c.tool.print("%s: stored section does not decode: %s\n", e.Entry, f)
		}
	}
}

func (c *client) printPools(s admin.Status) {
	c.printTable(func(row func(string, ...any)) {
		row("POOL\tMIN\tAVAILABLE\tMEMBERS\tLENT\tVERSION\tCURRENT")
		for _, p := range s.Pools {
			version := p.Version
			if version == "" {
				version = "-"
			}
			row("%s\t%d\t%d\t%d\t%d\t%s\t%d", p.Pool, p.Min, p.Available, p.Members, p.Lent, version, p.Current)
			for _, m := range p.Changing {
				target := ""
				if m.Target != "" && m.Target != p.Pool {
					target = " to " + string(m.Target)
				}
				row("  %s\t\t\t\t\t\t%s%s", m.ID, m.State, target)
			}
		}
	})
	c.tool.print("\n")
}

func (c *client) printZones(s admin.Status) {
	for _, z := range s.Zones {
		c.tool.print("%s\n", zoneLine(z))
	}
	c.tool.print("\n")
}

// zoneLine describes a zone in one line.
func zoneLine(z admin.ZoneStatus) string {
	tasks := "tasks"
	if z.Running == 1 {
		tasks = "task"
	}
	line := fmt.Sprintf("zone %s: %s, %d %s running", z.Zone, z.State, z.Running, tasks)
	if z.State == "out" || z.InService() {
		return line
	}
	var pools []string
	for _, r := range z.Returns {
		pools = append(pools, fmt.Sprintf("pool %s %s at %d %%", r.Pool, r.State, r.Percent))
	}
	if len(pools) == 0 {
		return line + ", return not begun"
	}
	return line + ", " + strings.Join(pools, ", ")
}

func (c *client) printTeams(s admin.Status) {
	c.printTable(func(row func(string, ...any)) {
		row("TEAM\tSHARE\tRUNNING\tCEILING\tGRANTED\tWAITING")
		for _, t := range s.Teams {
			row("%s\t%d\t%d\t%d\t%d\t%d", t.Team, t.Share, t.Running, t.Ceiling, t.Granted, t.Waiting)
		}
	})
}

func (c *client) burn() error {
	res, err := c.do(request{method: http.MethodGet, path: "/v1/burn"})
	if err != nil {
		return err
	}
	return printResponse(c, res, func(r burn.Report) { _ = r.WriteText(c.tool.out) })
}

func (c *client) audit(after uint64, limit int) error {
	res, err := c.do(request{method: http.MethodGet, path: fmt.Sprintf("/v1/audit?after=%d&limit=%d", after, limit)})
	if err != nil {
		return err
	}
	return printResponse(c, res, func(p admin.AuditPage) {
		c.printTable(func(row func(string, ...any)) {
			row("REVISION\tTIME\tAUTHOR\tCHANGED")
			for _, r := range p.Records {
				row("%d\t%s\t%s\t%s", r.Revision, r.Time.UTC().Format(time.RFC3339), r.Author, strings.Join(r.Keys, " "))
			}
		})
	})
}

// reportFindings prints findings as "file:line:column: section: message", or as JSON with --json. If there are any, it
// returns an error with ExitRefused.
func (c *client) reportFindings(file string, sections int, findings []spec.Finding) error {
	if c.json {
		if err := c.printJSON(admin.CheckReply{Findings: append([]spec.Finding{}, findings...)}); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			c.tool.print("%s:%d:%d: %s: %s\n", file, f.Line, f.Column, f.Section, f.Message)
		}
	}
	if len(findings) > 0 {
		return fail(ExitRefused, "findings: %d", len(findings))
	}
	if !c.json {
		c.tool.print("%s: %d sections without findings\n", file, sections)
	}
	return nil
}
