package elect

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The files testdata/builds/COMMIT.rows have a lease as a holder of the build of that commit wrote
// it when it was stopped.
func TestLeasesOfEarlierBuilds(t *testing.T) {
	tests := []struct {
		commit string
		want   Lease
	}{
		{"4c13deb", Lease{Holder: "entry-2", Incarnation: "351d851633ee7cb7", Epoch: 6, Until: 33011, Vacant: true}},
		{"99b8d0f", Lease{Holder: "entry-2", Incarnation: "018124d8af5a9575", Epoch: 4, Until: 33018, Vacant: true}},
	}
	for _, tt := range tests {
		t.Run(tt.commit, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(filepath.Join("testdata", "builds", tt.commit+".rows"))
			is.NoErr(err)
			key, value, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
			is.Equal(key, LeaseKey(endive.PoolName("svc")))
			for _, text := range []string{value, strings.Replace(value, "{", `{"ofALaterBuild":[1],`, 1)} {
				var decoded Lease
				is.NoErr(json.Unmarshal([]byte(text), &decoded))
				is.Equal(decoded, tt.want)
			}
		})
	}
}
