package main

import (
	"fmt"
	"regexp"
)

// source is the benchmark, or the test that logs metrics, that a row is computed from.
type source struct {
	// pkg is the path of the package.
	pkg string
	// name is a pattern for go test -bench or, if it begins with Test, for go test -run.
	name string
	// benchTime is the value of -benchtime; empty for a test.
	benchTime string
}

// resource is a resource that a row uses, with its unit.
type resource string

const (
	resourceCPU      resource = "processor, % of a core"
	resourceMemory   resource = "memory, MB"
	resourceTraffic  resource = "control traffic, B/s"
	resourceReads    resource = "table reads/s"
	resourceWrites   resource = "table writes/s"
	resourceDuration resource = "time, ms"
	// resourceMessages has no allowance and therefore no sum.
	resourceMessages resource = "messages/s"
)

// row is a row of the page: the amount of a resource that one activity of a role uses.
// The amount is computed from a source or, without one, is the designValue.
type row struct {
	role        string
	resource    resource
	description string
	mechanism   string
	// code is the function, type or package that implements the mechanism.
	code   string
	source source
	// namePattern and metric select the measurements of the source.
	namePattern, metric string
	// size is the design size at which the fitted line is evaluated, in units of unit.
	size float64
	unit string
	// multiplier is the factor by which the value of the fitted line is multiplied, such as
	// the events a second.
	multiplier float64
	// unitFactor converts the metric to the unit of the resource.
	unitFactor float64
	// designValue is the amount if it follows from a constant of the design.
	designValue float64
	// derivation explains the size and multiplier, or the designValue. If it is empty,
	// the page shows the size and multiplier.
	derivation string
	// isRare reports whether the activity happens seldom; such a row is left out of the sum.
	isRare bool
}

// rowResult is a row with the amount computed for it.
type rowResult struct {
	row
	// slope describes the fitted line.
	slope string
	// value is the amount of the resource at the design size.
	value float64
}

// evaluate computes the row's amount from the measurements of its source.
func (r row) evaluate(measurements []measurement) (rowResult, error) {
	if r.source == (source{}) {
		return rowResult{row: r, slope: "by design", value: r.designValue}, nil
	}
	fitted, err := fitLine(measurements, regexp.MustCompile(r.namePattern), r.metric)
	if err != nil {
		return rowResult{}, err
	}
	value := fitted.valueAt(r.size) * r.multiplier * r.unitFactor
	slope := fmt.Sprintf("%s %s", formatNumber(fitted.intercept), r.metric)
	if fitted.sizeCount > 1 {
		slope = fmt.Sprintf("%s + %s x %s, %s, %d sizes", formatNumber(fitted.intercept), formatNumber(fitted.slope), r.unit, r.metric, fitted.sizeCount)
	}
	return rowResult{row: r, slope: slope, value: value}, nil
}

// formatNumber formats a number with three significant digits, or as an integer from
// 1000 up.
func formatNumber(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
