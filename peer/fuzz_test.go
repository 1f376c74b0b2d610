package peer

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"endiveroute.example/endive/wire"
)

// FuzzFrame parses arbitrary bytes as frames. The reader must return frames and then an
// error. It must not panic or accept an oversize frame.
func FuzzFrame(f *testing.F) {
	var good bytes.Buffer
	for _, frame := range []*wire.Frame{
		wire.Wrap(&wire.Hello{Entry: "entry-1", Incarnation: "a", Version: messagesVersion}),
		wire.Wrap(&wire.Heartbeat{Sequence: 7, LeavingEndpoints: []*wire.EndpointSign{{Endpoint: "quote-1"}}}),
		wire.Wrap(&wire.TicketNotice{Number: 3, Rows: []*wire.ConfigRow{{Key: "teams/office", Value: []byte("{}")}}}),
	} {
		if _, err := protodelim.MarshalTo(&good, frame); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:good.Len()/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		for range len(data) + 1 {
			frame, err := readFrame(reader)
			if err != nil {
				return
			}
			wire.Unwrap(frame)
		}
		t.Fatal("more frames than bytes")
	})
}
