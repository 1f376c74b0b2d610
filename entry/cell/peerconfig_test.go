package cell

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// receivingDirectory, once switched, receives the configuration without end.
type receivingDirectory struct {
	endive.Directory
	on *atomic.Bool
}

func (d receivingDirectory) Config(ctx context.Context, after endive.Revision, wait endive.Interval) (endive.ConfigResponse, error) {
	for d.on.Load() && ctx.Err() == nil {
		endive.ReportReceived(ctx)
		time.Sleep(10 * time.Millisecond)
	}
	return d.Directory.Config(ctx, after, wait)
}

// An entry that receives a large configuration from the store must not ask other entries for it
// in the meantime: their answers would delay the read on the same link.
func TestEntryAsksOthersWhileItReceives(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 1, 1)
	on := &atomic.Bool{}
	r.directory = func(d endive.Directory) endive.Directory { return receivingDirectory{d, on} }
	slow := r.addEntry("entry-1")
	r.awaitReady()
	r.waitFor("the entries are linked", func() bool { return len(slow.peers.linkedEntries()) == 1 })
	asked := func() int { return len(r.log.lines("asked another entry for the configuration", "\"entry-1\"")) }
	before := asked()
	on.Store(true)
	defer on.Store(false)
	r.waitFor("the configuration is old", func() bool { return slow.config.age() > configAgeLimit+3*peerConfigPeriod })
	is.Equal(asked(), before)
}

// The entries in this region are asked before those in others, which share a link that may be
// full.
func TestFarEntriesAreAskedFirst(t *testing.T) {
	tests := []struct {
		name      string
		near, far []endive.EntryID
		round     int
		want      []endive.EntryID
	}{
		{"none", nil, nil, 0, nil},
		{"few", []endive.EntryID{"n0"}, []endive.EntryID{"f0", "f1"}, 1, []endive.EntryID{"n0", "f1"}},
		{"many", []endive.EntryID{"n0", "n1", "n2", "n3"}, []endive.EntryID{"f0"}, 0, []endive.EntryID{"n0", "n1", "n2", "f0"}},
		{"next round", []endive.EntryID{"n0", "n1", "n2", "n3"}, nil, 1, []endive.EntryID{"n3", "n0", "n1"}},
		{"alone in the region", nil, []endive.EntryID{"f0", "f1"}, 2, []endive.EntryID{"f0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got []endive.EntryID
			for _, ask := range configAsks(tt.near, tt.far, tt.round) {
				got = append(got, ask.entry)
			}
			is.Equal(got, tt.want)
		})
	}
}

// largeConfig returns a configuration with many queues.
func largeConfig(version endive.ConfigVersion) *endive.CellConfig {
	config := &endive.CellConfig{Version: version}
	for i := range 3000 {
		config.Queues = append(config.Queues, endive.Queue{Name: endive.QueueName(fmt.Sprintf("queue-%d", i)), Prefix: fmt.Sprintf("/q%d/", i), Pool: "svc"})
	}
	return config
}

// A configuration for another entry must not fill the link between regions, and an entry of an
// earlier build must be able to read it.
func TestConfigurationForPeersIsLarge(t *testing.T) {
	is := is.New(t)
	encoder, config := &configEncoder{}, largeConfig(9)
	plain, small, again := &wire.RelayAnswer{}, &wire.RelayAnswer{}, &wire.RelayAnswer{}
	is.NoErr(encoder.addTo(plain, config, false))
	is.NoErr(encoder.addTo(small, config, true))
	is.NoErr(encoder.addTo(again, config, true))
	is.Equal(len(plain.GetCompressedConfig()), 0)
	is.Equal(len(small.GetConfig()), 0)
	is.True(len(small.GetCompressedConfig()) < len(plain.GetConfig())/5)
	is.True(&again.GetCompressedConfig()[0] == &small.GetCompressedConfig()[0]) // compressed once per version
	for _, answer := range []*wire.RelayAnswer{plain, small} {
		decoded, err := decodePeerConfig(answer)
		is.NoErr(err)
		is.Equal(decoded, config)
	}
	newer := &wire.RelayAnswer{}
	is.NoErr(encoder.addTo(newer, &endive.CellConfig{Version: 10}, true))
	decoded, err := decodePeerConfig(newer)
	is.NoErr(err)
	is.Equal(decoded.Version, endive.ConfigVersion(10))
}

// An entry that has received a configuration passes it on as it is: to encode it once more takes
// an entry with little processor time a while.
func TestReceivedConfigurationIsEncodedAgain(t *testing.T) {
	is := is.New(t)
	sender, receiver, config := &configEncoder{}, &configEncoder{}, largeConfig(9)
	received, passedOn, plain := &wire.RelayAnswer{}, &wire.RelayAnswer{}, &wire.RelayAnswer{}
	is.NoErr(sender.addTo(received, config, true))
	receiver.keep(config.Version, received.GetCompressedConfig())
	is.NoErr(receiver.addTo(passedOn, config, true))
	is.True(&passedOn.GetCompressedConfig()[0] == &received.GetCompressedConfig()[0])
	is.NoErr(receiver.addTo(plain, config, false)) // for an earlier build
	decoded, err := decodePeerConfig(plain)
	is.NoErr(err)
	is.Equal(decoded, config)
	receiver.keep(8, []byte("older"))
	is.NoErr(receiver.addTo(passedOn, config, true))
	is.True(&passedOn.GetCompressedConfig()[0] == &received.GetCompressedConfig()[0])
}

// An answer that can't be decompressed is an error, not an empty configuration.
func TestDamagedConfigurationOfPeer(t *testing.T) {
	is := is.New(t)
	_, err := decodePeerConfig(&wire.RelayAnswer{CompressedConfig: []byte("{}")})
	is.True(err != nil)
	none, err := decodePeerConfig(&wire.RelayAnswer{})
	is.NoErr(err)
	is.True(none == nil)
}
