package trial

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
)

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processUsage is the processor time that a process has used and its resident memory in megabytes.
type processUsage struct {
	cpu    time.Duration
	memory float64
}

// Cost is what a run used: processor time per entry instance in percent of a processor, the largest resident memory of
// an entry instance in megabytes, and the deployment's operations of the table service per second.
type Cost struct {
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

func measureProcesses(d *demo.Deployment) []processUsage {
	var all []processUsage
	for _, p := range d.Processes() {
		all = append(all, processUsage{cpuTime(p.PID()), residentMemory(p.PID())})
	}
	return all
}

// cpuTime returns a process's user and system time, fields 14 and 15 of /proc/PID/stat.
func cpuTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(after)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * clockTick
}

func residentMemory(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), "VmRSS:")
	f := strings.Fields(after)
	if len(f) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(f[0])
	return float64(kilobytes) / 1024
}

func costSince(before, after []processUsage, from, to store.Counters, length time.Duration) Cost {
	var c Cost
	for i := range after {
		c.CPU += 100 * (after[i].cpu - before[i].cpu).Seconds() / length.Seconds() / float64(len(after))
		c.Memory = max(c.Memory, after[i].memory)
	}
	c.Reads = float64(to.Reads-from.Reads) / length.Seconds()
	c.Writes = float64(to.Writes-from.Writes) / length.Seconds()
	return c
}
