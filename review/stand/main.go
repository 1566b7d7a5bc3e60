package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case with or without its disruption and reports whether the rule was broken.
type scenario struct {
	options options
	play    func(d *deployment, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"gang":   {options{instances: 6, workers: 8}, playGang},
	"policy": {options{instances: 6, workers: 8, decideMS: 10, eachMS: 1, validMS: 3000}, playPolicy},
	"stale":  {options{instances: 6, workers: 8}, playStale},
	"burst":  {options{instances: 6, workers: 8, decideMS: 100, eachMS: 10, validMS: 3000}, playBurst},
	"crash":  {options{instances: 6, workers: 8}, playCrash},
	"timed":  {options{instances: 6, workers: 8}, playTimed},
	"large":  {options{instances: 6, workers: 12}, playLarge},
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/yuccahaven", "the system's program")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the instances' logs; none without one")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitFailed
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption: %t", *name, trouble)
	d, err := newDeployment(r, *program, s.options)
	if d != nil {
		defer d.close(*keep)
	}
	type verdict struct {
		broken bool
		err    error
	}
	played := make(chan verdict, 1)
	go func() {
		if err != nil {
			played <- verdict{err: err}
			return
		}
		broken, err := s.play(d, trouble)
		played <- verdict{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	var broken bool
	select {
	case v := <-played:
		broken, err = v.broken, v.err
	case <-stopped:
		err = errStopped
	case <-time.After(maxTime):
		err = errStopped
	}
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return exitFailed
	case broken:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// errStopped means that a case took too long or was ended by a signal.
var errStopped = errors.New("the case did not end by itself")

// errNotAccepted means that no instance accepted a job.
var errNotAccepted = errors.New("a job was not accepted")

// indexes returns the indexes in a map in order.
func indexes[V any](m map[int]V) []int {
	list := make([]int, 0, len(m))
	for i := range m {
		list = append(list, i)
	}
	slices.Sort(list)
	return list
}
