package main

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

func TestRevisionOf(t *testing.T) {
	tests := []struct {
		name     string
		settings []debug.BuildSetting
		want     string
	}{
		{"outside of a repository", []debug.BuildSetting{{Key: "GOOS", Value: "linux"}}, "unknown"},
		{"clean", []debug.BuildSetting{{Key: "vcs.revision", Value: "1f"}, {Key: "vcs.modified", Value: "false"}}, "1f"},
		{"changed", []debug.BuildSetting{{Key: "vcs.revision", Value: "1f"}, {Key: "vcs.modified", Value: "true"}}, "1f+"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(revisionOf(tt.settings), tt.want)
		})
	}
}
