package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const samplePath = "sample.toml"

func TestSample(t *testing.T) {
	is := is.New(t)
	loaded, err := Load(samplePath)
	is.NoErr(err)
	// The sample's values must equal the defaults.
	defaulted := loaded
	defaulted.LogLevel, defaulted.Limits, defaulted.Timings = "", Limits{}, Timings{}
	defaulted.Defaults()
	is.Equal(defaulted, loaded)
	// The sample must contain all keys.
	text, err := os.ReadFile(samplePath)
	is.NoErr(err)
	for _, one := range loaded.Timings.fields() {
		_, key, _ := strings.Cut(one.path, ".")
		is.True(strings.Contains(string(text), "\n"+key+" = "))
	}
}

func TestLoadFindings(t *testing.T) {
	text, err := os.ReadFile(samplePath)
	is.New(t).NoErr(err)
	tests := []struct {
		name string
		// replace has pairs of old and new text, to make the sample invalid.
		replace []string
		want    []string
	}{
		{"keys", []string{"heartbeat =", "hartbeat =", "sliceLease = \"10s\"", "sliceLease = 10", "region = \"de\"", "region = 3"}, []string{
			"peers[1].region: is the number 3; it must be text",
			`timings.hartbeat: is unknown; the nearest known key is "heartbeat"`,
			`timings.sliceLease: is the number 10; write it as text such as "1.5s" or "200ms"`,
		}},
		{"values", []string{"\"entry-1\"", "\"Entry 1\"", "\"info\"", "\"loud\"", "127.0.0.1:8201", "127.0.0.1:8101", "127.0.0.1:8501", "localhost:8501", "127.0.0.1:8502", "127.0.0.1:0", "\"127.0.0.1:8503\"", "\"\"", "4096 ", "-1"}, []string{
			`name: "Entry 1" must be lower-case letters, digits, dots and dashes, with a letter or digit at both ends`,
			`logLevel: is "loud"; it must be trace, debug, info, warn or error`,
			"listen.operators: is 127.0.0.1:8101, but listen.callers already listens on it",
			`platform.table: is "localhost:8501"; write an IP address with a port, like "10.0.0.7:8101"`,
			"platform.objects: is 127.0.0.1:0; a port to connect to must not be 0",
			`platform.instances: is missing; write it like "10.0.0.7:8101"`,
			"limits.connections: is -1; it must be 1 to 65536",
			"limits.requests: is -1; it must be 1 to 65536",
		}},
		{"peers", []string{"\"entry-3\"", "\"entry-1\"", "127.0.0.1:8303", "127.0.0.1:8302"}, []string{
			"peers[1].name: entry-1 is already given at name",
			"peers[1].address: 127.0.0.1:8302 is already given at peers[0].address",
		}},
		{"timings", []string{"\"10s\"", "\"5s\"", "\"15s\"", "\"5.9s\"", "\"30s\"", "\"1h\""}, []string{
			"timings.stop: is 1h0m0s; it must be 10ms to 10m0s",
			"timings.sliceLease: is 5s; it must be at least 3 times tableTimeout (2s), so that a lost renewal can be repeated",
			"timings.taskLease: is 5.9s; it must be at least 3 times workerTimeout (2s), so that a lost renewal can be repeated",
		}},
		{"syntax", []string{"region = \"gogledd\"", "region = gogledd"}, []string{
			`line 7, region: isn't TOML: expected value but found "gogledd" instead`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "e.toml")
			is.NoErr(os.WriteFile(path, []byte(strings.NewReplacer(tt.replace...).Replace(string(text))), 0o600))
			settings, err := Load(path)
			var report strings.Builder
			Report(&report, settings, err)
			lines := strings.Split(strings.TrimSpace(report.String()), "\n")
			is.True(strings.Contains(lines[len(lines)-1], "findings; correct them"))
			var got []string
			for _, line := range lines[:len(lines)-1] {
				got = append(got, strings.TrimPrefix(line, path+": "))
			}
			is.Equal(got, tt.want)
		})
	}
}
