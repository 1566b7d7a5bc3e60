//go:build race

package matrix

// every is the distance between the cells that are run. The race detector costs about eight times the processor
// time; 11 is prime to the number of faults, so that every row and every fault is among the cells.
const every = 11
