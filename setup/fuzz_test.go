package setup

import (
	"os"
	"testing"

	"endiveroute.example/endive/strict"
)

// FuzzSettings checks that decoding and validation never panic, that all findings have
// a path and a reason, and that settings without findings have valid leases and
// addresses.
func FuzzSettings(f *testing.F) {
	text, err := os.ReadFile(samplePath)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		string(text),
		"name = \"e\"\n[listen]\ncallers = \"[::1]:0\"\npeers = \"10.0.0.1\"\n[[peers]]\n[[peers]]\nname = \"e\"",
		"[timings]\nheartbeat = \"-1s\"\nsliceLease = \"2562047h\"\ntableTimeout = \"10m\"",
		"peers = {}\nlimits = 3\n[timings.heartbeat]\nx = 1",
		"listen = [[1], {}]",
		"\"\" = 1",
		"\xff", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var s Settings
		result := strict.TOML([]byte(text), &s)
		s.Defaults()
		findings := result.MergeValidation(s.Validate())
		for _, one := range findings {
			if one.Path == "" || one.Reason == "" {
				t.Fatalf("finding without path or reason: %#v", one)
			}
		}
		if len(findings) > 0 {
			return
		}
		if s.Timings.SliceLease < RenewalsPerLease*s.Timings.TableTimeout || s.Platform.Table == "" || s.Name == "" {
			t.Fatalf("invalid settings passed validation: %v", s)
		}
	})
}
