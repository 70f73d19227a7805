//go:build !race

package indexer

// scale divides the size of the tested index. Without the race detector the index
// has its full size.
const scale = 1
