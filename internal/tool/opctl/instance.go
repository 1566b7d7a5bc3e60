package opctl

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
)

func (t *tool) registerInstance(app *kingpin.Application) {
	group := app.Command("instance", "Drain and move instances.")
	x := t.flags(group)
	for _, c := range []struct{ verb, help string }{
		{"drain", "Take an instance out of service until undrain."},
		{"undrain", "Return a drained instance to service, or give up its move."},
	} {
		clause := group.Command(c.verb, c.help)
		id := clause.Arg("id", "Instance.").Required().String()
		clause.Action(func(*kingpin.ParseContext) error { return x.changeInstance(*id, c.verb, nil) })
	}
	move := group.Command("move", "Drain an instance, reboot it and make it a member of another pool.")
	id := move.Arg("id", "Instance.").Required().String()
	pool := move.Arg("pool", "Pool it moves to.").Required().String()
	move.Action(func(*kingpin.ParseContext) error {
		return x.changeInstance(*id, "move", admin.MoveRequest{Pool: fleet.PoolName(*pool)})
	})
}

func (c *client) changeInstance(id, verb string, body any) error {
	r := request{method: http.MethodPost, path: "/v1/instances/" + url.PathEscape(id) + "/" + verb}
	if body != nil {
		r.body = encode(body)
	}
	res, err := c.do(r)
	if err != nil {
		return err
	}
	return printResponse(c, res, func(m admin.InstanceReply) {
		target := ""
		if m.Target != "" {
			target = ", moves to pool " + string(m.Target)
		}
		c.tool.print("instance %s of pool %s is %s%s, in force at revision %d\n", m.Instance, m.Pool, m.State, target,
			m.Revision)
	})
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the bodies hold strings only
	}
	return b
}

func (c *client) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	c.tool.print("%s\n", b)
	return nil
}
