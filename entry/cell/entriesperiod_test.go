package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
)

// The bytes of the entries' rows must not grow with the square of the entries. Holders, the next
// candidates and entries that have just started need the rows in time.
func TestRowsReadAsOftenWithManyEntries(t *testing.T) {
	tests := []struct {
		name     string
		entries  int
		frequent bool
		want     time.Duration
	}{
		{name: "few entries", entries: 16, want: time.Second},
		{name: "more entries", entries: 42, want: 3 * time.Second},
		{name: "many entries", entries: 300, want: 12 * time.Second},
		{name: "few entries, holder", entries: 16, frequent: true, want: time.Second},
		{name: "many entries, holder", entries: 300, frequent: true, want: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(entriesReadPeriod(test.entries, test.frequent), test.want)
		})
	}
}

// A row that couldn't be read anew yet must not count as that of an entry that has ended. If the
// read itself is overdue, it must.
func TestRowsReadRarelyCountAsExpired(t *testing.T) {
	tests := []struct {
		name        string
		now, readAt endive.PlatformTime
		period      time.Duration
		want        endive.PlatformTime
	}{
		{name: "read just now", now: 50_000, readAt: 50_000, period: 12 * time.Second, want: 50_000},
		{name: "read within the period", now: 50_000, readAt: 40_000, period: 12 * time.Second, want: 40_000},
		{name: "read is overdue", now: 50_000, readAt: 20_000, period: 12 * time.Second, want: 38_000},
		{name: "not read yet", now: 50_000, period: 0, want: 50_000},
		{name: "read by a clock that was ahead", now: 50_000, readAt: 50_010, period: 12 * time.Second, want: 50_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(liveAsOf(test.now, test.readAt, test.period), test.want)
		})
	}
}

// An entry whose view of the rows is old must not delete the row of an entry that has restarted
// since.
func TestOldViewDeletesRows(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}, Platform: fixedClock{}, Store: &Store{}, Settings: setup.CellSettings{Name: "entry-0"}}}
	at := endive.PlatformTime(2 * entryRetention.Milliseconds())
	p := &peers{cell: c, rows: map[endive.EntryID]entryRow{"entry-1": {At: 1}, "entry-2": {At: at}}}
	p.rowsPeriod = entriesReadPeriod(300, true)
	is.Equal(p.expiredEntries(at, entryRetention), []endive.EntryID{"entry-1"})
	p.rowsPeriod = entriesReadPeriod(300, false)
	is.Equal(len(p.expiredEntries(at, entryRetention)), 0)
}

// A pool may get a holder whose row this entry hasn't read yet, for example one that was just added.
// Its row must be read soon, since submissions are reported to the holder.
func TestUnknownHolderStaysUnknown(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	r.awaitReady()
	peers := r.holder().peers
	is.True(!peers.holderUnknown())
	r.holder().poolNamed("svc").holder.Store(endive.EntryID("entry-9"))
	is.True(peers.holderUnknown())
}
