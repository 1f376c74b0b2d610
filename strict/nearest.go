package strict

import (
	"strings"
)

// Nearest returns the known key with the smallest edit distance to key; among equal
// ones, the first.
func Nearest(key string, known []string) string {
	best, bestDistance := "", 0
	for _, candidate := range known {
		d := editDistance(strings.ToLower(Shorten(key)), strings.ToLower(candidate))
		if best == "" || d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
