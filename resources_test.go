package endive_test

import (
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func TestResourcesFitCount(t *testing.T) {
	tests := []struct {
		name       string
		free, need endive.Resources
		limit      int
		want       int
	}{
		{"scarcest dimension", endive.Resources{Processors: 9000, Memory: 10, Accelerators: 8}, endive.Resources{Processors: 2000, Memory: 5, Accelerators: 1}, 9, 2},
		{"limit", endive.Resources{Processors: 9000}, endive.Resources{Processors: 1000}, 3, 3},
		{"no need", endive.Resources{}, endive.Resources{}, 4, 4},
		{"nothing free", endive.Resources{Memory: -5}, endive.Resources{Memory: 2}, 4, 0},
		{"no limit left", endive.Resources{Processors: 9000}, endive.Resources{Processors: 1000}, -1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.free.FitCount(tt.need, tt.limit), tt.want)
		})
	}
}

func TestResourcesWithinQuota(t *testing.T) {
	is := is.New(t)
	quota := endive.Resources{Processors: 1000, Accelerators: 2}
	is.True(endive.Resources{Processors: 1000, Memory: 1 << 40, Accelerators: 2}.WithinQuota(quota)) // 0 is unlimited
	is.True(!endive.Resources{Processors: 1001}.WithinQuota(quota))
	is.True(!endive.Resources{Accelerators: 3}.WithinQuota(quota))
	is.True(endive.Resources{Processors: 1 << 40}.WithinQuota(endive.Resources{}))
}
