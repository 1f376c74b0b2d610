package costs

import (
	"bufio"
	"strconv"
	"strings"
)

// Metrics is a page of metrics: each value under its name with its tags.
type Metrics map[string]float64

// ParseMetrics reads a page. Lines that aren't a name and a number are left out.
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

// Sum adds up the values of a name whose tags hold all of the given texts.
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

// containsAll reports whether text containsAll all parts.
func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
