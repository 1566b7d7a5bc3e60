package engine

import (
	"maps"
	"slices"
)

// progress is the stored progress of a job that has not ended.
type progress struct {
	// Opened and Closed count the rounds that were opened and those of them that are complete.
	Opened int `json:"opened"`
	Closed int `json:"closed"`
	// Pools are those besides the one at acceptance in which tasks of the job may have started.
	Pools []string `json:"pools,omitempty"`
	// A brief progress names the open rounds and the complete steps of each; Steps holds those of the others that have any
	// progress. Otherwise Steps holds all steps of the open rounds.
	Rounds   []roundRange   `json:"rounds,omitempty"`
	Complete []roundSteps   `json:"whole,omitempty"`
	Steps    []stepProgress `json:"steps,omitempty"`
}

// roundRange is a range of rounds, the first and the last one included.
type roundRange struct {
	_           struct{} `cbor:",toarray"`
	First, Last int
}

// roundSteps is a bitmap of steps of a round.
type roundSteps struct {
	_     struct{} `cbor:",toarray"`
	Round int
	Steps []byte
}

// stepProgress is the progress of one step of an open round.
type stepProgress struct {
	Round int `json:"round"`
	Step  int `json:"step"`
	// Done is a bitmap of the completed tasks.
	Done []byte `json:"done,omitempty"`
	// Failed are the numbers of the failed runs of unfinished tasks, by task index.
	Failed map[int][]int64 `json:"failed,omitempty"`
	// Checkpoints are the last checkpoints of unfinished tasks, by task index.
	Checkpoints map[int]string `json:"saved,omitempty"`
	// Crashes are the numbers of crashes that unfinished tasks may have caused, by task index.
	Crashes map[int]int `json:"crashes,omitempty"`
}

// progress returns the progress to store with checkpoints of at most a number of bytes, and how many checkpoints it leaves out:
// a task without one starts from the beginning. The brief form is for jobs of which many rounds wait.
func (j *job) progress(room int, brief bool) (p progress, left int) {
	p = progress{Opened: j.openedRounds, Closed: j.closedRounds, Pools: j.otherPools}
	if brief {
		p.Rounds, p.Complete = j.openRounds(), j.completeSteps()
	}
	for _, s := range j.stepStates {
		if brief && !s.hasOwnProgress() {
			continue
		}
		e := stepProgress{Round: s.round, Step: s.step}
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done {
				if e.Done == nil {
					e.Done = make([]byte, (len(s.tasks)+7)/8)
				}
				e.Done[i/8] |= 1 << (i % 8)
				continue
			}
			if len(t.failedRuns) > 0 {
				if e.Failed == nil {
					e.Failed = map[int][]int64{}
				}
				e.Failed[i] = t.failedRuns
			}
			if n := t.suspicion.certain(); n > 0 {
				if e.Crashes == nil {
					e.Crashes = map[int]int{}
				}
				e.Crashes[i] = n
			}
			if t.checkpoint == "" {
				continue
			}
			if room -= encodedEntry + len(t.checkpoint); room < 0 {
				left++
				continue
			}
			if e.Checkpoints == nil {
				e.Checkpoints = map[int]string{}
			}
			e.Checkpoints[i] = t.checkpoint
		}
		p.Steps = append(p.Steps, e)
	}
	return p, left
}

// Bounds of the encoded sizes of parts of a progress record, in bytes: a step without its entries, a number, and the key and
// head of an entry of a map.
const (
	encodedStep   = 80
	encodedNumber = 9
	encodedEntry  = 10
)

// openRounds returns the open rounds of a job as ranges.
func (j *job) openRounds() []roundRange {
	open := map[int]bool{}
	for k := range j.stepStates {
		open[k.round] = true
	}
	var list []roundRange
	for _, r := range slices.Sorted(maps.Keys(open)) {
		if n := len(list); n > 0 && list[n-1].Last == r-1 {
			list[n-1].Last = r
		} else {
			list = append(list, roundRange{First: r, Last: r})
		}
	}
	return list
}

// completeSteps returns the complete steps of the open rounds, by round.
func (j *job) completeSteps() []roundSteps {
	bitmaps := map[int][]byte{}
	for k, s := range j.stepStates {
		if s.unfinished > 0 {
			continue
		}
		if bitmaps[k.round] == nil {
			bitmaps[k.round] = make([]byte, (len(j.Steps)+7)/8)
		}
		bitmaps[k.round][k.step/8] |= 1 << (k.step % 8)
	}
	list := make([]roundSteps, 0, len(bitmaps))
	for _, r := range slices.Sorted(maps.Keys(bitmaps)) {
		list = append(list, roundSteps{Round: r, Steps: bitmaps[r]})
	}
	return list
}

// hasOwnProgress reports whether a step is not complete and one of its tasks has anything that is stored.
func (s *stepState) hasOwnProgress() bool {
	return s.unfinished > 0 && slices.ContainsFunc(s.tasks, func(t task) bool {
		return t.done || len(t.failedRuns) > 0 || t.suspicion != nil || t.checkpoint != ""
	})
}

// progressSize returns an upper bound of the size of the stored progress without checkpoints, in bytes.
func (j *job) progressSize(brief bool) int {
	size := 2 * encodedStep
	if brief {
		size += len(j.openRounds()) * (encodedEntry + 2*encodedNumber)
		size += len(j.completeSteps()) * (encodedEntry + encodedNumber + (len(j.Steps)+7)/8)
	}
	for _, name := range j.otherPools {
		size += encodedEntry + len(name)
	}
	for _, s := range j.stepStates {
		if brief && !s.hasOwnProgress() {
			continue
		}
		size += encodedStep + (len(s.tasks)+7)/8
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done {
				continue
			}
			if n := len(t.failedRuns); n > 0 {
				size += encodedEntry + n*encodedNumber
			}
			if t.suspicion != nil {
				size += encodedEntry + encodedNumber
			}
		}
	}
	return size
}
