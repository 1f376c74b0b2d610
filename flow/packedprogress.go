package flow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"endiveroute.example/endive"
)

// maxUnpackedBytes is the maximum size of a compressed Progress after decompression: more than the widest workflow needs.
const maxUnpackedBytes = 64 << 20

// packedProgress is the row of a workflow whose Progress would be too large for the store. An earlier build can't decode
// it, since Occurrences isn't a list there: it leaves the workflow to a build that can.
type packedProgress struct {
	State   endive.WorkflowState `json:"state"`
	Account endive.AccountName   `json:"account,omitempty"`
	// Occurrences is the JSON of the Progress, compressed.
	Occurrences []byte `json:"occurrences"`
}

// plainProgress is a Progress without its methods.
type plainProgress Progress

// encodePacked returns the value of a compressed row.
func (p Progress) encodePacked() []byte {
	var compressed bytes.Buffer
	// No write to a buffer fails, and the level is valid.
	writer, _ := flate.NewWriter(&compressed, flate.DefaultCompression)
	_, _ = writer.Write(encodeRow(p))
	_ = writer.Close()
	return encodeRow(packedProgress{State: p.State, Account: p.Account, Occurrences: compressed.Bytes()})
}

// UnmarshalJSON decodes a row, compressed or not. The error is that of the decoding.
func (p *Progress) UnmarshalJSON(row []byte) error {
	var plain plainProgress
	err := json.Unmarshal(row, &plain)
	if err == nil {
		*p = Progress(plain)
		return nil
	}
	var packed packedProgress
	if json.Unmarshal(row, &packed) != nil {
		return fmt.Errorf("Progress.UnmarshalJSON: %w", err)
	}
	if plain, err = packed.unpack(); err != nil {
		return fmt.Errorf("Progress.UnmarshalJSON: %w", err)
	}
	*p = Progress(plain)
	return nil
}

// unpack returns the Progress that is compressed in the row.
func (p packedProgress) unpack() (plainProgress, error) {
	var plain plainProgress
	reader := flate.NewReader(bytes.NewReader(p.Occurrences))
	value, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes))
	if err != nil {
		return plain, err
	}
	err = json.Unmarshal(value, &plain)
	return plain, err
}
