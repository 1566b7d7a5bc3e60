package opctl

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/tool/reqlog"
)

func (t *tool) registerExplain(app *kingpin.Application) {
	c := app.Command("explain", "Show what the logs of all instances say about a request, in order of time. Exits with 1 if they don't name it.")
	id := c.Arg("id", "id of a job or task").Required().String()
	files := c.Arg("log", "files with the instances' logs; standard input if there are none").ExistingFiles()
	c.Action(func(*kingpin.ParseContext) error { return t.explain(*id, *files, os.Stdin) })
}

func (t *tool) explain(id string, files []string, input io.Reader) error {
	var lines []reqlog.Line
	read := func(r io.Reader) error {
		l, err := reqlog.Read(r, id)
		lines = append(lines, l...)
		return err
	}
	if len(files) == 0 {
		if err := read(input); err != nil {
			return err
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		err = read(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("explain: %s: %w", name, err)
		}
	}
	found, err := reqlog.WriteTimeline(t.out, lines, id)
	if err == nil && !found {
		return fail(ExitRefused, "no line names %s", id)
	}
	return err
}
