// Command yuccalab runs fakes of the platform, the demo, load generators, checks and measurements of yuccahaven.
package main

import (
	"os"

	"github.com/yuccahaven/yuccahaven/internal/lab/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout)) }
