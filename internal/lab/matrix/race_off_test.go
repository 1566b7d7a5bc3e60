//go:build !race

package matrix

// cellStride 1 runs every cell.
const cellStride = 1
