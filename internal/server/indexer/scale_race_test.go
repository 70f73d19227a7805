//go:build race

package indexer

// scale divides the size of the tested index, since the race detector makes atomic
// accesses many times slower.
const scale = 16
