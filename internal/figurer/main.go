// Command figurer counts the lines of Go in a source tree: all of them, those of tests,
// and those of the packages in corePackages. The argument is the root of the tree; the
// default is the current directory.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// corePackages are the packages for routing, limits, retries, membership, state and
// recovery.
var corePackages = []string{
	"admitter", "charter", "configurer", "controller", "drainer", "ejector", "estimator", "guarder",
	"indexer", "leaser", "limiter", "orderer", "pacer", "peerer", "picker", "planner", "retrier", "runner", "watcher",
}

// lineCounts are numbers of lines.
type lineCounts struct {
	// code and tests are the lines outside of tests and in tests; core is the part of
	// code that is in corePackages.
	code, tests, core int
}

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	total, err := countTree(root)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "figurer:", err)
		os.Exit(1)
	}
	all := total.code + total.tests
	fmt.Printf("lines of Go, generated ones left out: %d\n", all)
	fmt.Printf("tests:                                %d (%.1f %%; bound: under a third)\n", total.tests, percent(total.tests, all))
	fmt.Printf("routing, limits, retries, membership, state and recovery: %d of %d lines of code (%.1f %%; bound: a quarter or more)\n",
		total.core, total.code, percent(total.core, total.code))
}

// percent returns part as a percentage of all, or of one if all is zero.
func percent(part, all int) float64 {
	return 100 * float64(part) / float64(max(all, 1))
}

// countTree counts the lines of all Go files below root, except those generated from
// protocol buffers and those in hidden folders.
func countTree(root string) (lineCounts, error) {
	var total lineCounts
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return fs.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		lines, err := countLines(path)
		total.add(path, lines)
		return err
	})
	return total, err
}

// add adds the lines of the file at path to the counts of its kind.
func (c *lineCounts) add(path string, lines int) {
	if strings.HasSuffix(path, "_test.go") {
		c.tests += lines
		return
	}
	c.code += lines
	if slices.Contains(corePackages, filepath.Base(filepath.Dir(path))) {
		c.core += lines
	}
}

func countLines(path string) (lines int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		lines++
	}
	return lines, scanner.Err()
}
