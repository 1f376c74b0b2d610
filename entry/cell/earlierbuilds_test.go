package cell

import (
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// The files testdata/builds/COMMIT.frames have messages to other entries as the build of that
// commit wrote them in a run, one a line: the type, the encoded frame, and the frame as JSON by that
// build. The files COMMIT.rows have registrations of entries.

var earlierBuilds = []string{"4c13deb", "99b8d0f"}

// earlierFrame is a frame that an earlier build wrote.
type earlierFrame struct {
	kind  string
	data  []byte
	frame *wire.Frame
	// text is the frame as JSON by the earlier build.
	text string
}

func readFrames(t *testing.T, commit string) []earlierFrame {
	t.Helper()
	is := is.New(t)
	lines, err := os.ReadFile(filepath.Join("testdata", "builds", commit+".frames"))
	is.NoErr(err)
	var frames []earlierFrame
	for _, line := range strings.Split(strings.TrimSpace(string(lines)), "\n") {
		fields := strings.SplitN(line, " ", 3)
		data, err := base64.StdEncoding.DecodeString(fields[1])
		is.NoErr(err)
		frame := earlierFrame{kind: fields[0], data: data, text: fields[2], frame: new(wire.Frame)}
		is.NoErr(proto.Unmarshal(data, frame.frame))
		frames = append(frames, frame)
	}
	return frames
}

// fields decodes JSON for comparison.
func fields(t *testing.T, text string) any {
	t.Helper()
	var decoded any
	is.New(t).NoErr(json.Unmarshal([]byte(text), &decoded))
	return decoded
}

// Each message of an earlier build has the same fields with the same values here.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	for _, commit := range earlierBuilds {
		for _, frame := range readFrames(t, commit) {
			t.Run(commit+" "+frame.kind, func(t *testing.T) {
				is := is.New(t)
				message := wire.Unwrap(frame.frame)
				is.True(message != nil)
				is.Equal(string(message.ProtoReflect().Descriptor().Name()), frame.kind)
				decoded, err := protojson.Marshal(frame.frame)
				is.NoErr(err)
				is.Equal(fields(t, string(decoded)), fields(t, frame.text))
			})
		}
	}
}

// unknownField is an encoded field that no build knows.
func unknownField() []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), []byte("of a later build"))
}

// A message with a field of a later build is decoded as without it. A frame with nothing but a
// message of a later build is no message.
func TestMessagesOfLaterBuilds(t *testing.T) {
	is := is.New(t)
	for _, frame := range readFrames(t, "99b8d0f") {
		message := wire.Unwrap(frame.frame)
		message.ProtoReflect().SetUnknown(unknownField())
		data, err := proto.Marshal(frame.frame)
		is.NoErr(err)
		var decoded wire.Frame
		is.NoErr(proto.Unmarshal(append(data, unknownField()...), &decoded))
		text, err := protojson.Marshal(&decoded)
		is.NoErr(err)
		is.Equal(fields(t, string(text)), fields(t, frame.text))
	}
	var other wire.Frame
	is.NoErr(proto.Unmarshal(unknownField(), &other))
	is.Equal(wire.Unwrap(&other), nil)
}

// A request of a kind that only later builds know is answered as not performed.
func TestRequestOfLaterBuild(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t, 0, 1)
	r.awaitReady()
	request := &relayedRequest{cell: r.cells[0], ask: &wire.RelayAsk{Kind: 99, Pool: "svc", MillisLeft: 1000}}
	is.Equal(request.execute(t.Context()).GetStatus(), wire.RelayStatus_RELAY_UNAVAILABLE)
}

// The state of a pool that an entry of an earlier build hands over.
func TestHandOverOfEarlierBuilds(t *testing.T) {
	tests := []struct {
		commit   string
		epoch    endive.Epoch
		draining bool
		capacity endive.Resources
		parts    map[endive.AccountName]endive.Resources
	}{
		{"4c13deb", 6, true, endive.Resources{}, map[endive.AccountName]endive.Resources{}},
		{
			"99b8d0f", 4, false, endive.Resources{Processors: 16000, Memory: 64 * endive.GiB, Accelerators: 2},
			map[endive.AccountName]endive.Resources{"a": {Processors: 8000}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.commit, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t, 0, 1)
			r.awaitReady()
			c := r.cells[0]
			for _, frame := range readFrames(t, tt.commit) {
				if message, ok := wire.Unwrap(frame.frame).(*wire.PoolHandOver); ok {
					c.receiveHandOver(message)
				}
			}
			state := c.poolNamed("svc").handedOver.Load()
			is.True(state != nil)
			is.Equal(state.Epoch, tt.epoch)
			is.True(state.Revision > 0)
			is.Equal(len(state.WorkRows), 3)
			is.Equal(len(state.StateRows), 3)
			is.Equal(len(state.EndedJobs), 4)
			is.Equal(len(state.Roster), 4)
			is.Equal(state.Roster[0].ID, endive.WorkerID("i-0"))
			is.Equal(state.Roster[0].Draining, tt.draining)
			is.Equal(state.Roster[1].Capacity, tt.capacity)
			is.Equal(state.QuotaParts, tt.parts)
		})
	}
}

// An entry of an earlier build is known by its registration.
func TestRegistrationsOfEarlierBuilds(t *testing.T) {
	for _, commit := range earlierBuilds {
		t.Run(commit, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(filepath.Join("testdata", "builds", commit+".rows"))
			is.NoErr(err)
			key, value, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
			later := strings.Replace(value, "{", `{"ofALaterBuild":[1],`, 1)
			for _, text := range []string{value, later} {
				var row entryRow
				is.NoErr(json.Unmarshal([]byte(text), &row))
				peer := row.peer(endive.EntryID(strings.TrimPrefix(key, entriesPrefix)))
				is.Equal(peer.ID, endive.EntryID("entry-2"))
				is.Equal(peer.Region, endive.Region("r"))
				is.Equal(peer.Zone, endive.Zone("z"))
				is.True(strings.HasPrefix(string(peer.Address), "127.0.0.1:"))
				is.Equal(len(peer.Incarnation), 16)
				is.Equal(row.Cores, 1.0)
				is.True(row.StartTime > 0 && row.At >= row.StartTime)
			}
		})
	}
}
