package cell

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/peer"
	"endiveroute.example/endive/wire"
)

// applyTime is how soon after its commit the entries must use a configuration.
const applyTime = 3 * time.Second

// countedDirectory counts the configurations that an entry has read from the store, and doesn't
// answer while blocked.
type countedDirectory struct {
	endive.Directory
	copies  *atomic.Int64
	blocked *atomic.Bool
}

func (d countedDirectory) Config(ctx context.Context, after endive.Revision, wait endive.Interval) (endive.ConfigResponse, error) {
	response, err := d.Directory.Config(ctx, after, wait)
	for d.blocked.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if response.Config != nil {
		d.copies.Add(1)
	}
	return response, err
}

// followedEntry is an entry with the counts of its directory.
type followedEntry struct {
	*Cell
	directory countedDirectory
}

// newFollowedCluster starts entries in one region and waits until all but the readers follow one.
func newFollowedCluster(t *testing.T, count int) (*testCluster, []followedEntry) {
	r := newTestCluster(t, 1, 0)
	var entries []followedEntry
	for i := range count {
		counted := countedDirectory{copies: &atomic.Int64{}, blocked: &atomic.Bool{}}
		r.directory = func(d endive.Directory) endive.Directory { counted.Directory = d; return counted }
		c := r.addEntry(fmt.Sprintf("entry-%d", i))
		t.Cleanup(func() { counted.blocked.Store(false) })
		entries = append(entries, followedEntry{c, counted})
	}
	r.awaitReady()
	r.waitFor("the entries agree on the readers", func() bool {
		readers := entries[0].peers.knownReaders()
		return len(readers) == minReaders && !slices.ContainsFunc(entries, func(e followedEntry) bool {
			return e.peers.count() != count || !slices.Equal(e.peers.knownReaders(), readers)
		})
	})
	return r, entries
}

// knownReaders returns the readers, this entry included.
func (p *peers) knownReaders() []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers
}

// readersOf returns the readers among the entries, and the others.
func readersOf(entries []followedEntry) (readers, followers []followedEntry) {
	for _, e := range entries {
		if len(e.peers.configReaders()) == 0 {
			readers = append(readers, e)
		} else {
			followers = append(followers, e)
		}
	}
	return readers, followers
}

// awaitVersion waits until the entries use a version, and fails the test after applyTime.
func awaitVersion(t *testing.T, entries []followedEntry, version endive.ConfigVersion) {
	t.Helper()
	deadline := time.Now().Add(applyTime)
	for _, e := range entries {
		for e.config.current().Version < version {
			if time.Now().After(deadline) {
				t.Fatalf("%s still uses version %d", e.Settings.Name, e.config.current().Version)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// The copies of a large configuration that cross between regions must not grow with the entries:
// they fill the link for longer than the leases of workers last.
func TestEachEntryReadsConfigurationFromStore(t *testing.T) {
	is := is.New(t)
	r, entries := newFollowedCluster(t, 6)
	time.Sleep(2 * configAgeLimit) // the polls of the store from before the readers were known end
	before := int64(0)
	for _, e := range entries {
		before += e.directory.copies.Load()
	}
	r.putConfig(9, nil)
	awaitVersion(t, entries, 9)
	for _, e := range entries {
		before -= e.directory.copies.Load()
		is.True(e.config.age() < receivingAgeLimit) // the followers' configuration is confirmed
	}
	is.Equal(-before, int64(minReaders))
}

// A reader that ends or that the store doesn't answer must not delay the configuration of the
// others.
func TestReaderDelaysConfiguration(t *testing.T) {
	tests := []struct {
		name string
		// failing is how many readers fail, and fail makes one do so.
		failing int
		fail    func(followedEntry)
	}{
		{"one ends", 1, func(e followedEntry) { e.Close() }},
		{"both end", 2, func(e followedEntry) { e.Close() }},
		{"one can't read", 1, func(e followedEntry) { e.directory.blocked.Store(true) }},
		{"none can read", 2, func(e followedEntry) { e.directory.blocked.Store(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, entries := newFollowedCluster(t, 4)
			readers, followers := readersOf(entries)
			for _, reader := range readers[:tt.failing] {
				tt.fail(reader)
			}
			r.putConfig(9, nil)
			awaitVersion(t, followers, 9)
		})
	}
}

// earlierEntry is an entry of an earlier build, which answers at once, or one that is frozen.
type earlierEntry struct {
	mesh   *peer.Mesh
	frozen bool
	asked  atomic.Int64
}

func (e *earlierEntry) Deliver(from endive.EntryID, _ endive.Incarnation, message proto.Message) {
	ask, ok := message.(*wire.RelayAsk)
	if !ok || ask.GetKind() != wire.RelayKind_RELAY_CONFIG {
		return
	}
	e.asked.Add(1)
	if !e.frozen {
		e.mesh.Send(from, &wire.RelayAnswer{Tag: ask.GetTag(), Status: wire.RelayStatus_RELAY_DONE, ConfirmedMillisAgo: 1})
	}
}

// meshServer accepts sessions of other entries on a listener.
type meshServer struct {
	mesh     *peer.Mesh
	listener net.Listener
}

// run ends with an error when the listener is closed at the end of the test.
func (s *meshServer) run() { s.mesh.Serve(s.listener) }

// addEarlierEntry starts an entry that other entries choose as a reader.
func (r *testCluster) addEarlierEntry(name string, to *Cell, frozen bool) *earlierEntry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	e := &earlierEntry{frozen: frozen}
	row := entryRow{Address: endive.Address(listener.Addr().String()), Incarnation: endive.Incarnation(name), Region: "gogledd", Zone: "zone-1", At: 1 << 40}
	e.mesh = peer.New(row.peer(endive.EntryID(name)), e, NewCounters(gauge.New(), tally.NoopScope), hclog.NewNullLogger())
	e.mesh.SetPeers(endive.Peers{to.peers.ownPeer()})
	go (&meshServer{mesh: e.mesh, listener: listener}).run()
	r.t.Cleanup(e.mesh.Close)
	r.t.Cleanup(func() { _ = listener.Close() })
	r.putRow("entries", name, row)
	return e
}

// Entries of an earlier build answer at once: they must not be asked without a pause. Frozen ones
// don't answer at all: the store is read instead.
func TestReadersOfEarlierBuild(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		t.Run(fmt.Sprintf("frozen %v", frozen), func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t, 1, 1)
			r.awaitReady()
			c := r.cells[0]
			readers := []*earlierEntry{r.addEarlierEntry("reader-0", c, frozen), r.addEarlierEntry("reader-1", c, frozen)}
			asked := func() int64 { return readers[0].asked.Load() + readers[1].asked.Load() }
			r.waitFor("a reader is asked", func() bool { return asked() > 0 })
			before := asked()
			time.Sleep(2 * time.Second)
			is.True(asked()-before <= 5)
			if frozen {
				r.putConfig(9, nil)
				awaitVersion(t, []followedEntry{{Cell: c}}, 9)
			}
		})
	}
}
