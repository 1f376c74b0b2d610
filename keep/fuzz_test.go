package keep

import (
	"testing"

	"github.com/matryer/is"
)

func FuzzDecodeIntent(f *testing.F) {
	f.Add(intentRow{State: stateAnswered, Request: "r", Status: 200, Body: []byte("b")}.encode())
	f.Add([]byte(`{"state":"pending","request":"r","remainingMillis":-1}`))
	f.Add([]byte(`{"state":"pending","request":"r","remainingMillis":9300000000000}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := decodeIntent(value)
		if err != nil {
			return
		}
		if r := (keyState{row: row}); !r.expiresAt(DefaultExpiryMargin).After(r.versionSeenAt) {
			t.Fatalf("%+v has expired at once", row)
		}
		again, err := decodeIntent(row.encode())
		if is := is.New(t); row.Body == nil || len(row.Body) > 0 {
			is.NoErr(err)
			is.Equal(again, row)
		}
	})
}
