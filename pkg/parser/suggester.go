package parser

import "strings"

// maxEditDistance is the largest number of edits by which a misspelt name may
// differ from the suggested one.
const maxEditDistance = 2

// suggestName returns the allowed name with the smallest edit distance from a
// misspelt one, whose case is ignored, or "" if none is within maxEditDistance. A name
// that would be replaced as a whole is never suggested.
func suggestName(name string, allowed []string) string {
	best, minEdits := "", maxEditDistance+1
	for _, candidate := range allowed {
		edits := editDistance(strings.ToLower(name), candidate)
		if edits < minEdits && edits < len(candidate) {
			best, minEdits = candidate, edits
		}
	}
	return best
}

// editDistance returns the number of edits between two words (optimal string
// alignment): inserting, deleting or replacing a byte and swapping two adjacent
// bytes count as one each.
func editDistance(a, b string) int {
	beforePrevious := make([]int, len(b)+1)
	previous := make([]int, len(b)+1)
	current := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], beforePrevious[j-2]+1)
			}
		}
		beforePrevious, previous, current = previous, current, beforePrevious
	}
	return previous[len(b)]
}
