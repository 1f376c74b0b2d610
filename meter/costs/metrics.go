package costs

import (
	"bufio"
	"strconv"
	"strings"
)

// Metrics holds the values of a metrics page by name with labels.
type Metrics map[string]float64

// ParseMetrics parses a metrics page. It ignores lines that don't end in a number.
func ParseMetrics(text string) Metrics {
	metrics := make(Metrics)
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			continue
		}
		if value, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			metrics[line[:at]] = value
		}
	}
	return metrics
}

// Sum returns the sum of the values of a name whose labels contain all given strings.
func (m Metrics) Sum(name string, labels ...string) float64 {
	sum := 0.0
	for key, value := range m {
		rest, ok := strings.CutPrefix(key, name)
		if ok && (rest == "" || rest[0] == '{') && containsAll(rest, labels) {
			sum += value
		}
	}
	return sum
}

// containsAll reports whether text contains all parts.
func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
