package client

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseMetric(t *testing.T) {
	tests := []struct {
		name, line string
		want       metric
		ok         bool
	}{
		{"tags", `used{a="x",b="y"} 1.5`, metric{"used", map[string]string{"a": "x", "b": "y"}, 1.5}, true},
		{"quotes, braces and commas", `used{a="x\"},{=y"} 2`, metric{"used", map[string]string{"a": `x"},{=y`}, 2}, true},
		{"no tags", "used 2", metric{}, false},
		{"no value", `used{a="x"} `, metric{}, false},
		{"torn", `used{a="x`, metric{}, false},
		{"no quotes", `used{a=x} 2`, metric{}, false},
		{"empty", "", metric{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := parseMetric(tt.line)
			is.Equal(ok, tt.ok)
			if tt.ok {
				is.Equal(got, tt.want)
			}
		})
	}
}
