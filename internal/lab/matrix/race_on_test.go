//go:build race

package matrix

// every is the distance between the cells that are run, because the race detector costs about eight times the processor
// time. 11 is prime to the number of faults: every fault is among the 44 cells, and every row but "zone back ramping".
const every = 11
