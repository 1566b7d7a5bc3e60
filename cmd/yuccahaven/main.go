// Command yuccahaven runs an entry instance of the fleet capacity and maintenance manager, and the operators' commands.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/serve/node"
	"github.com/yuccahaven/yuccahaven/internal/tool/opctl"
	"github.com/yuccahaven/yuccahaven/platform"
)

func main() {
	app := kingpin.New("yuccahaven", "Fleet capacity and maintenance manager.")
	node.Register(app)
	platform.Register(app)
	opctl.Register(app)
	os.Exit(opctl.Run(app, os.Args[1:]))
}
