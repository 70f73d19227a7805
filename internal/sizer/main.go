// Command sizer estimates the resources that each role of a deployment needs at the
// design size and writes them to docs/CAPACITY.md. It runs benchmarks at several sizes,
// fits a line to the results of each and evaluates the line at the design size.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
)

func main() {
	outFile := flag.String("out", "docs/CAPACITY.md", "page to write")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *outFile); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sizer:", err)
		os.Exit(1)
	}
}

// run measures each source once, evaluates all rows and writes the page to outFile.
func run(ctx context.Context, outFile string) error {
	measurementsBySource := make(map[source][]measurement)
	var results []rowResult
	for _, r := range rows() {
		if _, ok := measurementsBySource[r.source]; !ok && r.source != (source{}) {
			measurements, err := measure(ctx, r.source)
			if err != nil {
				return err
			}
			measurementsBySource[r.source] = measurements
		}
		result, err := r.evaluate(measurementsBySource[r.source])
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return os.WriteFile(outFile, []byte(renderPage(results)), 0o644)
}
