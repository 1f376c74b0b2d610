package setup

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The files testdata/builds/COMMIT.toml have settings that the build of that commit accepts. An
// upgrade must not need a setting that the earlier build doesn't know, nor refuse one that it has.
func TestSettingsOfEarlierBuilds(t *testing.T) {
	tests := []struct {
		commit     string
		strictKeys bool
		maxKeyAge  endive.Interval
		callers    endive.Address
	}{
		{"4c13deb", false, DefaultMaxKeyAge, "127.0.0.1:41201"},
		{"99b8d0f", true, endive.Interval(2 * time.Second), "127.0.0.1:34015"},
	}
	for _, tt := range tests {
		t.Run(tt.commit, func(t *testing.T) {
			is := is.New(t)
			cell, err := LoadCell(filepath.Join("testdata", "builds", tt.commit+".toml"))
			is.NoErr(err)
			is.Equal(cell.Name, endive.EntryID("entry-0"))
			is.Equal(cell.Region, endive.Region("r"))
			is.Equal(cell.Listen.Callers, tt.callers)
			is.Equal(cell.Limits.Cores, 1.0)
			is.Equal(cell.Bounds.StrictKeys, tt.strictKeys)
			is.Equal(cell.Bounds.MaxKeyAge, tt.maxKeyAge)
		})
	}
}
