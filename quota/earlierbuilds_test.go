package quota

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The file testdata/builds/99b8d0f.rows has a pool's parts of the caps as a holder of the build of
// that commit wrote them. Earlier builds have none.
func TestPartsOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("testdata", "builds", "99b8d0f.rows"))
	is.NoErr(err)
	want := parts{
		Epoch: 1,
		Parts: map[endive.AccountName]amounts{"a": {8000, 0, 0}},
		Needs: map[endive.AccountName]amounts{"a": {9000, 0, 0}},
	}
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		key, value, _ := strings.Cut(line, " ")
		if key == growthKey {
			is.Equal(value, "{}")
			continue
		}
		for _, text := range []string{value, strings.Replace(value, "{", `{"ofALaterBuild":[1],`, 1)} {
			pool, decoded, ok := decodeRow(endive.Row{Key: key, Version: 7, Value: []byte(text)})
			is.True(ok)
			is.Equal(pool, endive.PoolName("svc"))
			is.Equal(decoded, partsRow{parts: want, version: 7})
		}
	}
}
