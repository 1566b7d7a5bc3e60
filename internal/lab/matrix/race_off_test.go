//go:build !race

package matrix

// every is the distance between the cells that are run: all of them.
const every = 1
