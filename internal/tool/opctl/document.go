package opctl

import (
	"io"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
)

const stdin = "-"

func readInput(file string) ([]byte, error) {
	if file == stdin {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fail(ExitUsage, "standard input: %w", err)
		}
		return b, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fail(ExitUsage, "%w", err)
	}
	return b, nil
}

func (t *tool) registerCheck(app *kingpin.Application) {
	c := app.Command("check", "Check a document file. Exits with 1 if there are findings.")
	x := t.flags(c)
	file := c.Arg("file", "YAML file with all sections, - for standard input.").Required().String()
	remote := c.Flag("remote", "Let the server check it too, with the present instances and budgets.").Bool()
	c.Action(func(*kingpin.ParseContext) error {
		text, err := readInput(*file)
		if err != nil {
			return err
		}
		_, sections, findings := spec.DecodeDocument(string(text))
		if *remote && len(findings) == 0 {
			if findings, err = x.checkRemote(text); err != nil {
				return err
			}
		}
		return x.reportFindings(*file, len(sections), findings)
	})
}

func (c *client) checkRemote(text []byte) ([]spec.Finding, error) {
	res, err := c.do(request{method: http.MethodPost, path: "/v1/document/check", body: text})
	if err != nil {
		return nil, err
	}
	var findings []spec.Finding
	err = printResponse(c.withoutJSON(), res, func(r admin.CheckReply) { findings = r.Findings })
	return findings, err
}

// precondition holds the flags that state what an edit is based on; exactly one of them is required. The flag for the
// version can't be named "version", because kingpin applies no defaults if a flag of that name is given.
type precondition struct {
	version      string
	mustNotExist bool
	overwrite    bool
}

func (p *precondition) flags(c *kingpin.CmdClause) {
	c.Flag("match", "Version that the edit is based on, as printed by get.").StringVar(&p.version)
	c.Flag("new", "The edit creates what does not exist yet.").BoolVar(&p.mustNotExist)
	c.Flag("overwrite", "Overwrite whatever is there.").BoolVar(&p.overwrite)
}

func (p *precondition) header() (map[string]string, error) {
	given := 0
	for _, b := range []bool{p.version != "", p.mustNotExist, p.overwrite} {
		if b {
			given++
		}
	}
	switch {
	case given != 1:
		return nil, fail(ExitUsage, "give one of --match, --new and --overwrite")
	case p.mustNotExist:
		return map[string]string{"If-None-Match": "*"}, nil
	case p.overwrite:
		return map[string]string{"If-Match": "*"}, nil
	}
	return map[string]string{"If-Match": `"` + p.version + `"`}, nil
}

const sectionPath = "/v1/document/sections/"

func (t *tool) registerSection(app *kingpin.Application) {
	group := app.Command("section", "Read and edit sections of the document.")
	x := t.flags(group)
	get := group.Command("get", "Print a section; its version goes to standard error.")
	getName := get.Arg("name", "Name, such as pool/main.").Required().String()
	get.Action(func(*kingpin.ParseContext) error { return x.print("section "+*getName, sectionPath+*getName) })

	put := group.Command("put", "Write a section.")
	putName := put.Arg("name", "Name, such as pool/main.").Required().String()
	file := put.Arg("file", "YAML file, - for standard input.").Default(stdin).String()
	var on precondition
	on.flags(put)
	put.Action(func(*kingpin.ParseContext) error { return x.putFile(sectionPath+*putName, *file, on) })

	remove := group.Command("remove", "Remove a section.")
	removeName := remove.Arg("name", "Name, such as queue/quotes.").Required().String()
	var removeOn precondition
	removeOn.flags(remove)
	remove.Action(func(*kingpin.ParseContext) error {
		header, err := removeOn.header()
		if err != nil {
			return err
		}
		return x.sendEdit(request{method: http.MethodDelete, path: sectionPath + *removeName, header: header})
	})
}

func (t *tool) registerDocument(app *kingpin.Application) {
	group := app.Command("document", "Export and import the whole document.")
	x := t.flags(group)
	get := group.Command("get", "Print the document; its version goes to standard error.")
	get.Action(func(*kingpin.ParseContext) error { return x.print("document", "/v1/document") })

	put := group.Command("put",
		"Replace the whole document in one transaction. Sections that are left out are removed, keys too.")
	file := put.Arg("file", "YAML file with all sections, - for standard input.").Default(stdin).String()
	var on precondition
	on.flags(put)
	put.Action(func(*kingpin.ParseContext) error { return x.putFile("/v1/document", *file, on) })
}

// print prints the document or a section. The version goes to standard error, so that the text can be redirected; with
// --json, both are in the JSON.
func (c *client) print(what, path string) error {
	res, err := c.do(request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(map[string]string{"version": res.etag, "text": string(res.body)})
	}
	c.tool.print("%s", res.body)
	c.tool.note("%s is at version %s\n", what, res.etag)
	return nil
}

func (c *client) putFile(path, file string, on precondition) error {
	header, err := on.header()
	if err != nil {
		return err
	}
	text, err := readInput(file)
	if err != nil {
		return err
	}
	return c.sendEdit(request{method: http.MethodPut, path: path, header: header, body: text})
}

func (c *client) sendEdit(r request) error {
	res, err := c.do(r)
	if err != nil {
		return err
	}
	return printResponse(c, res, func(x admin.EditReply) { c.tool.print("in force at revision %d\n", x.Revision) })
}
