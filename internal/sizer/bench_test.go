package main

import (
	"math"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

const benchmarkOutput = `
goos: linux
BenchmarkPlan/210-10         	    3343	    352748 ns/op	      12 B/op
BenchmarkPlan/2100-10        	     436	   2878770 ns/op	     120 B/op
BenchmarkPlan/8500-10        	     100	  12348039 ns/op	     484 B/op
BenchmarkRelay-10            	      20	  28543756 ns/op	      2854 ns/token
PASS
`

func TestFitLineThroughParsedBenchmarks(t *testing.T) {
	is := is.New(t)
	measurements := parseBenchmarks([]byte(benchmarkOutput))
	is.Equal(len(measurements), 4)
	is.Equal(measurements[1].size, 2100.0)
	fitted, err := fitLine(measurements, regexp.MustCompile("Plan"), "ns/op")
	is.NoErr(err)
	is.Equal(fitted.sizeCount, 3)
	is.True(math.Abs(fitted.slope-1450) < 20) // about 1.45 us for each engine
	constant, err := fitLine(measurements, regexp.MustCompile("Relay"), "ns/token")
	is.NoErr(err)
	is.Equal(constant.valueAt(1000), 2854.0)
	_, err = fitLine(measurements, regexp.MustCompile("None"), "ns/op")
	is.True(err != nil)
}

func TestParseTestLogReadsMetrics(t *testing.T) {
	is := is.New(t)
	measurements := parseTestLog(trafficTest.name, "x: 20 instances: 17.1 frames/s, 3549 B/s each, 3763 B/s the busiest\nx: 60 instances: 17.4 frames/s, 3591 B/s each, 4158 B/s the busiest\n")
	is.Equal(len(measurements), 2)
	is.Equal(measurements[1].size, 60.0)
	is.Equal(measurements[1].metrics["B/s-most"], 4158.0)
	sparse := parseTestLog(sparseRequestsTest.name, "x: 8.0 frames and 317 B a request, for two limits")
	is.Equal(sparse[0].metrics["B/request"], 317.0)
}
