// Command yuccalab runs stand-ins for the platform, the demo, load, checks and measurements of yuccahaven.
package main

import (
	"os"

	"github.com/yuccahaven/yuccahaven/internal/lab/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout)) }
