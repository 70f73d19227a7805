package main

import (
	"fmt"
	"runtime"
	"strings"
)

// allowances are the upper bounds of the sums, by role and resource.
var allowances = map[string]map[resource]float64{
	roleEntry:           {resourceCPU: 1.9, resourceMemory: 64, resourceTraffic: 4000},
	roleDatacentreRelay: {resourceCPU: 1.9, resourceMemory: 64, resourceTraffic: 4000},
	roleRegionRelay:     {resourceCPU: 1.9, resourceMemory: 64, resourceTraffic: 4000},
	roleOwner:           {resourceMemory: 64, resourceTraffic: 4000},
	rolePlanner:         {resourceCPU: 1.9, resourceMemory: 64, resourceDuration: 100},
	roleTable:           {resourceReads: 2000, resourceWrites: 300},
	roleTraffic:         {resourceCPU: 100},
}

// pageHeader is the page's text before the rows.
const pageHeader = `# Capacity

What each role needs at the size that is designed for, worked out from slopes
that one command measures and writes here:

    go run ./internal/sizer

A slope is the straight line through a benchmark's sizes. A product is the line
at the design size, times how often it happens. Sums leave out rows marked as
seldom. Machine of this run: %s/%s, %d processors, %s, shared with other work.

The size: 390 instances in 6 regions and 20 data centres, 2,100 replicas with
8,500 accelerators, 10,000 requests and 3.1 million tokens a second, 1,400
workspaces, 4 models, 1,500 changes a day, 13 failures and 760 restarts a day.
For control an instance has 1.9 %% of a core, 64 MB and 4 KB a second; the table
serves 300 writes and 2,000 reads a second.
`

// renderPage returns the page: for each role the table of its rows and, if the role has
// allowances, the table of its sums.
func renderPage(results []rowResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, pageHeader, runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	for _, role := range roles {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", role, roleNotes[role])
		b.WriteString("| uses | what | mechanism | code | slope | at design size | product |\n|---|---|---|---|---|---|---|\n")
		for _, result := range results {
			if result.role == role {
				b.WriteString(result.markdownRow())
			}
		}
		if len(allowances[role]) > 0 {
			b.WriteString(renderSums(role, results))
		}
	}
	b.WriteString(pageFooter)
	return b.String()
}

// markdownRow returns the row of the role's table.
func (r rowResult) markdownRow() string {
	size := r.derivation
	if size == "" {
		size = fmt.Sprintf("%s %s, %s a second", formatNumber(r.size), r.unit, formatNumber(r.multiplier))
	}
	value := formatNumber(r.value)
	if r.isRare {
		value += " (seldom)"
	}
	return fmt.Sprintf("| %s | %s | %s | `%s` | %s | %s | %s |\n", r.resource, r.description, r.mechanism, r.code, r.slope, size, value)
}

// renderSums returns the table that compares the sum of each resource of a role with its
// allowance.
func renderSums(role string, results []rowResult) string {
	var b strings.Builder
	b.WriteString("\n| sum | product | allowance | margin |\n|---|---|---|---|\n")
	for _, resourceName := range []resource{resourceCPU, resourceMemory, resourceTraffic, resourceReads, resourceWrites, resourceDuration} {
		allowance, ok := allowances[role][resourceName]
		if !ok {
			continue
		}
		sum := 0.0
		for _, result := range results {
			if result.role == role && result.resource == resourceName && !result.isRare {
				sum += result.value
			}
		}
		margin := fmt.Sprintf("%.0f %%", 100*(1-sum/allowance))
		if sum > allowance {
			margin = "**does not fit**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", resourceName, formatNumber(sum), formatNumber(allowance), margin)
	}
	return b.String()
}
