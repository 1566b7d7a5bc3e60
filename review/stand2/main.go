// Command stand2 runs the cases of the second review that are scripts: the system's processes, with stand-ins of the platform,
// its workers and the consumers. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// errBroken says how the rule of a case was broken.
type errBroken struct{ how string }

// Error implements error.
func (e errBroken) Error() string { return e.how }

func main() {
	os.Exit(execute())
}

func runCase(name string, trouble bool, r *record) error {
	switch name {
	case "zone":
		return zoneCase(trouble, r)
	case "rounds":
		return roundsCase(trouble, r)
	case "ack":
		return ackCase(trouble, r)
	case "moved":
		return movedCase(trouble, r)
	case "late":
		return lateCase(trouble, r)
	}
	return fmt.Errorf("no case %q", name)
}

func execute() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitCouldNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{began: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "%s, trouble %v", os.Args[1], trouble)
	err = runCase(os.Args[1], trouble, r)
	switch e := err.(type) {
	case nil:
		r.add("case", "the rule held")
		fmt.Println("held")
		return exitHeld
	case errBroken:
		r.add("case", "broken: %s", e.how)
		fmt.Println("broken:", e.how)
		return exitBroken
	default:
		r.add("case", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNotRun
	}
}
