package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validCell = `name = "edge-1"
region = "gogledd"
zone = "bangor"
[listen]
callers = "10.0.0.1:8149"
health = "10.0.0.1:8141"
peers = "10.0.0.1:7380"
metrics = "10.0.0.1:9464"
[platform]
store = "10.200.1.7:8142"
`

func TestLoadCell(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"good", validCell, ""},
		{"unknown key", validCell + "stor = \"x\"\n", `platform.stor: is unknown; the nearest known key is "store"`},
		{"several findings", strings.Replace(strings.Replace(validCell, "edge-1", "Edge 1", 1), "10.200.1.7:8142", "nowhere", 1) +
			"[timings]\npoll = \"5s\"\n", "name: \"Edge 1\" must be lower-case"},
		{"a lease shorter than its renewals", validCell + "[timings]\npoolLease = \"500ms\"\n", "timings.poolLease: is 500ms; it must be at least 3 times timings.poll"},
		{
			"a list that is always outdated", validCell + "[bounds]\nmaxListAge = \"1.5s\"\n",
			"bounds.maxListAge: is 1.5s; it must be longer than timings.poll, timings.storeTimeout and 500ms together",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "local.conf")
			is.NoErr(os.WriteFile(path, []byte(tt.text), 0o600))
			cell, err := LoadCell(path)
			if tt.want == "" {
				is.NoErr(err)
				is.Equal(cell.Timings.PoolLease, DefaultPoolLease)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

// TestLoadCellReportsAllFindings checks that LoadCell reports all findings of a
// file, not just the first.
func TestLoadCellReportsAllFindings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "local.conf")
	text := strings.Replace(validCell, "10.0.0.1:8149", "", 1) + "cloud = \"x\"\n[limits]\ncores = -1\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	_, err := LoadCell(path)
	for _, want := range []string{"listen.callers: is missing", "platform.cloud:", "limits.cores: is -1"} {
		is.True(strings.Contains(err.Error(), want))
	}
}
