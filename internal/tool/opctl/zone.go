package opctl

import (
	"errors"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
)

// statusPollInterval is the pause between two reads of the status while a command waits.
const statusPollInterval = time.Second

// zoneCommand is one of the commands "zone out" and "zone in".
type zoneCommand struct {
	client    *client
	state     fleet.ZoneState
	name      string
	wait      bool
	waitLimit time.Duration
}

func (t *tool) registerZone(app *kingpin.Application) {
	group := app.Command("zone", "Take availability zones out of service and return them.")
	x := t.flags(group)
	out := &zoneCommand{client: x, state: fleet.ZoneOut}
	out.register(group.Command("out",
		"Take an availability zone out of service. With --wait, wait until none of its tasks run."))
	in := &zoneCommand{client: x, state: fleet.ZoneIn}
	in.register(group.Command("in", "Return an availability zone. With --wait, wait until every pool has it in service."))
	group.Command("status", "Show the availability zones.").Action(func(*kingpin.ParseContext) error {
		return x.status(x.printZones)
	})
}

func (z *zoneCommand) register(c *kingpin.CmdClause) {
	c.Arg("name", "Availability zone.").Required().StringVar(&z.name)
	c.Flag("wait", "Wait until it is done.").BoolVar(&z.wait)
	c.Flag("wait-limit", "Longest wait; exits with 4 after that.").Default("15m").DurationVar(&z.waitLimit)
	c.Action(func(*kingpin.ParseContext) error { return z.run() })
}

func (z *zoneCommand) run() error {
	if err := z.put(); err != nil {
		return err
	}
	if !z.wait {
		return nil
	}
	return z.await(time.Now().Add(z.waitLimit))
}

// put changes the state in the zone's section and keeps the rest of it, or creates the section if there is none. If the
// section is edited between the read and the write, the command fails with a conflict.
func (z *zoneCommand) put() error {
	path := sectionPath + "zone/" + z.name
	header := map[string]string{"If-None-Match": "*"}
	text := ""
	res, err := z.client.withoutJSON().do(request{method: http.MethodGet, path: path})
	var e exitError
	switch {
	case err == nil:
		text, header = string(res.body), map[string]string{"If-Match": `"` + res.etag + `"`}
	case !errors.As(err, &e) || !e.notFound:
		return err
	}
	changed, err := withState(text, z.state)
	if err != nil {
		return fail(ExitRefused, "section zone/%s: %w", z.name, err)
	}
	return z.client.sendEdit(request{method: http.MethodPut, path: path, header: header, body: []byte(changed)})
}

// withState sets the state in the text of a zone's section and keeps comments and other fields.
func withState(text string, s fleet.ZoneState) (string, error) {
	var root yaml.Node
	if err := yaml.Unmarshal([]byte(text), &root); err != nil {
		return "", err
	}
	if len(root.Content) == 0 {
		return spec.Encode(map[string]string{"state": string(s)})
	}
	section := root.Content[0]
	for i := 0; i+1 < len(section.Content); i += 2 {
		if section.Content[i].Value == "state" {
			section.Content[i+1].SetString(string(s))
			return spec.Encode(&root)
		}
	}
	section.Content = append(section.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: "state"},
		&yaml.Node{Kind: yaml.ScalarNode, Value: string(s)})
	return spec.Encode(&root)
}

// await polls the status until the zone's change is complete and prints the zone's line whenever it changes. Failed
// reads are retried; it gives up once someone else has changed the zone's state.
func (z *zoneCommand) await(end time.Time) error {
	t := z.client.tool
	last := ""
	for {
		s, err := z.readZone()
		line := ""
		switch {
		case err != nil:
			line = "status not available: " + err.Error()
		case s.State != z.state:
			return fail(ExitConflict, "zone %s has been set to %s by someone else", z.name, s.State)
		default:
			line = zoneLine(s)
		}
		if line != last {
			t.note("%s\n", line)
			last = line
		}
		if err == nil && isDone(s) {
			return nil
		}
		if time.Now().After(end) {
			return fail(ExitUnknown, "zone %s is not done after %v; the state %s stays in force", z.name, z.waitLimit, z.state)
		}
		time.Sleep(statusPollInterval)
	}
}

func isDone(s admin.ZoneStatus) bool {
	if s.State == fleet.ZoneOut {
		return s.Running == 0
	}
	return s.InService()
}

func (z *zoneCommand) readZone() (admin.ZoneStatus, error) {
	s, err := z.client.readStatus()
	if err != nil {
		return admin.ZoneStatus{}, err
	}
	for _, e := range s.Entries {
		if !e.Reachable {
			return admin.ZoneStatus{}, fail(ExitUnknown, "entry instance %s does not answer", e.Entry)
		}
	}
	for _, x := range s.Zones {
		if x.Zone == fleet.AvailabilityZone(z.name) {
			return x, nil
		}
	}
	return admin.ZoneStatus{}, fail(ExitUnknown, "the status has no zone %q", z.name)
}
