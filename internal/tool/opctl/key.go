package opctl

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
)

func (t *tool) registerKey(app *kingpin.Application) {
	group := app.Command("key", "Grant and withdraw keys.")
	x := t.flags(group)
	grant := group.Command("grant", "Grant a key. It is printed once and stored nowhere.")
	team := grant.Arg("team", "Team.").Required().String()
	role := grant.Arg("role", "Role: submit, edit or admin.").Required().Enum("submit", "edit", "admin")
	id := grant.Flag("id", "Identifier of the key; default: a random one.").String()
	grant.Action(func(*kingpin.ParseContext) error {
		return x.grant(*team, admin.GrantRequest{ID: *id, Role: fleet.KeyRole(*role)})
	})

	withdraw := group.Command("withdraw", "Withdraw a key. It stops working within seconds.")
	of := withdraw.Arg("team", "Team.").Required().String()
	key := withdraw.Arg("id", "Identifier of the key: the middle part of yh_<id>_<secret>.").Required().String()
	withdraw.Action(func(*kingpin.ParseContext) error {
		return x.sendEdit(request{method: http.MethodDelete,
			path: "/v1/keys/" + url.PathEscape(*of) + "/" + url.PathEscape(*key)})
	})
}

func (c *client) grant(team string, g admin.GrantRequest) error {
	res, err := c.do(request{method: http.MethodPost, path: "/v1/keys/" + url.PathEscape(team), body: encode(g)})
	if err != nil {
		return err
	}
	return printResponse(c, res, func(g admin.GrantReply) {
		c.tool.print("%s\n", g.Key)
		c.tool.note("key %s of team %s with role %s, in force at revision %d\n", g.ID, g.Team, g.Role, g.Revision)
	})
}
