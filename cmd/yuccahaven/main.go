// Command yuccahaven runs an entry instance of the fleet capacity and maintenance manager.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/serve/node"
)

func main() {
	app := kingpin.New("yuccahaven", "Fleet capacity and maintenance manager.")
	node.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
