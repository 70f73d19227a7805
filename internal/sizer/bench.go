package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// measurement is one result of a benchmark, or one line of metrics that a test logs.
type measurement struct {
	name string
	// size is the problem size, such as a number of replicas.
	size float64
	// metrics are the measured values by unit, such as ns/op.
	metrics map[string]float64
}

// sizePattern matches the last number in a benchmark's name, with or without the number
// of processors behind it.
var sizePattern = regexp.MustCompile(`(\d+)(?:-\d+)?$`)

// measure runs a benchmark, or a test that logs metrics, and returns its measurements.
func measure(ctx context.Context, source source) ([]measurement, error) {
	if strings.HasPrefix(source.name, "Test") {
		return measureTest(ctx, source)
	}
	arguments := []string{"test", "-run", "^$", "-bench", source.name, "-benchmem", "-benchtime", source.benchTime, source.pkg}
	command := exec.CommandContext(ctx, "go", arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("go %s: %w\n%s", strings.Join(arguments, " "), err, output)
	}
	return parseBenchmarks(output), nil
}

// testLogPatterns maps the name in a test's source to the pattern of the lines that the
// test logs. The first group of the pattern is the size; the others are the metrics, in
// order.
var testLogPatterns = map[string]struct {
	line    *regexp.Regexp
	metrics []string
}{
	"TestTraffic(AtDesignSize)?":          {regexp.MustCompile(`(\d+) instances: ([\d.]+) frames/s, ([\d.]+) B/s each, ([\d.]+) B/s the busiest`), []string{"frames/s", "B/s", "B/s-most"}},
	"TestSparseRequestsExchangeFewFrames": {regexp.MustCompile(`()([\d.]+) frames and ([\d.]+) B a request`), []string{"frames/request", "B/request"}},
}

// measureTest runs a test of testLogPatterns and returns the metrics that it logs.
func measureTest(ctx context.Context, source source) ([]measurement, error) {
	command := exec.CommandContext(ctx, "go", "test", "-run", "^"+source.name+"$", "-count", "1", "-v", source.pkg)
	output, err := command.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("go test -run %s: %w\n%s", source.name, err, output)
	}
	return parseTestLog(source.name, string(output)), nil
}

// parseTestLog returns the metrics in the output of a test of testLogPatterns.
func parseTestLog(test, output string) []measurement {
	pattern := testLogPatterns[test]
	var measurements []measurement
	for _, match := range pattern.line.FindAllStringSubmatch(output, -1) {
		m := measurement{name: test + "/" + match[1], metrics: make(map[string]float64)}
		m.size, _ = strconv.ParseFloat(match[1], 64)
		for i, metric := range pattern.metrics {
			m.metrics[metric], _ = strconv.ParseFloat(match[i+2], 64)
		}
		measurements = append(measurements, m)
	}
	return measurements
}

// parseBenchmarks returns the benchmark results in the output of go test.
func parseBenchmarks(output []byte) []measurement {
	var measurements []measurement
	scanner := bufio.NewScanner(bytes.NewReader(output))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		m := measurement{name: fields[0], metrics: make(map[string]float64)}
		if match := sizePattern.FindStringSubmatch(trimProcessors(fields[0])); match != nil {
			m.size, _ = strconv.ParseFloat(match[1], 64)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err == nil {
				m.metrics[fields[i+1]] = value
			}
		}
		measurements = append(measurements, m)
	}
	return measurements
}

// trimProcessors removes the number of processors that go test appends to the name of a
// benchmark.
func trimProcessors(name string) string {
	if i := strings.LastIndex(name, "-"); i > 0 {
		return name[:i]
	}
	return name
}

// linearFit is a straight line through measurements.
type linearFit struct {
	intercept float64
	slope     float64
	// sizeCount is the number of different sizes that were measured.
	sizeCount int
}

// valueAt returns the value of the line at a size.
func (l linearFit) valueAt(size float64) float64 { return l.intercept + l.slope*size }

// fitLine fits a line by least squares to a metric of the measurements whose name
// matches. If all have the same size, the line is constant at their mean.
func fitLine(measurements []measurement, namePattern *regexp.Regexp, metric string) (linearFit, error) {
	var n, sumX, sumY, sumXX, sumXY float64
	sizes := make(map[float64]bool)
	for _, m := range measurements {
		y, ok := m.metrics[metric]
		if !ok || !namePattern.MatchString(m.name) {
			continue
		}
		n++
		sumX += m.size
		sumY += y
		sumXX += m.size * m.size
		sumXY += m.size * y
		sizes[m.size] = true
	}
	if n == 0 {
		return linearFit{}, fmt.Errorf("no measurement matches %s and has metric %s", namePattern, metric)
	}
	if len(sizes) < 2 {
		return linearFit{intercept: sumY / n, sizeCount: len(sizes)}, nil
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return linearFit{intercept: (sumY - slope*sumX) / n, slope: slope, sizeCount: len(sizes)}, nil
}
