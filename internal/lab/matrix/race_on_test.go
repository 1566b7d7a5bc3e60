//go:build race

package matrix

// cellStride runs every 11th cell only, because the race detector takes about eight times the processor time. 11 is
// coprime to the number of faults, so the 44 cells contain every fault, and every row but "zone back ramping".
const cellStride = 11
