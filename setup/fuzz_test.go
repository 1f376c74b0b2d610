package setup

import (
	"os"
	"testing"

	"endiveroute.example/endive/strict"
)

// FuzzSettings shows that reading and validating never panic, that findings have
// a place and a reason, and that settings without any have their leases and
// addresses in order.
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
			if one.Place == "" || one.Reason == "" {
				t.Fatalf("a finding says nothing: %#v", one)
			}
		}
		if len(findings) > 0 {
			return
		}
		if s.Timings.SliceLease < RenewalsPerLease*s.Timings.TableTimeout || s.Platform.Table == "" || s.Name == "" {
			t.Fatalf("these settings have no findings: %v", s)
		}
	})
}
