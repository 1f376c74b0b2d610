package cell

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// maxConfigBytes is the size limit of a configuration of another entry, as JSON.
const maxConfigBytes = 16 << 20

// configEncoder encodes the configuration for other entries, once per version. It is safe for
// concurrent use.
type configEncoder struct {
	mu      sync.Mutex
	version endive.ConfigVersion
	// plain is the JSON, and compressed the same compressed; nil if not encoded yet, or not
	// received.
	plain      []byte
	compressed []byte
}

// addTo adds the configuration to an answer, compressed if the asker accepts that.
func (e *configEncoder) addTo(answer *wire.RelayAnswer, config *endive.CellConfig, compress bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != config.Version {
		e.version, e.plain, e.compressed = config.Version, nil, nil
	}
	if compress && e.compressed != nil {
		answer.CompressedConfig = e.compressed
		return nil
	}
	if e.plain == nil {
		plain, err := json.Marshal(config)
		if err != nil {
			return endive.ErrInvalid.New("configEncoder.addTo: %w", err)
		}
		e.plain = plain
	}
	if !compress {
		answer.Config = e.plain
		return nil
	}
	compressed, err := deflate(e.plain)
	if err != nil {
		return err
	}
	e.compressed = compressed
	answer.CompressedConfig = compressed
	return nil
}

// keep keeps the compressed form in which a configuration was received, to pass it on.
func (e *configEncoder) keep(version endive.ConfigVersion, compressed []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version < version && len(compressed) > 0 {
		e.version, e.plain, e.compressed = version, nil, compressed
	}
}

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, endive.ErrInvalid.New("deflate: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return nil, endive.ErrInvalid.New("deflate: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, endive.ErrInvalid.New("deflate: %w", err)
	}
	return buffer.Bytes(), nil
}

// decodePeerConfig returns the configuration of an answer, or nil if it has none.
func decodePeerConfig(answer *wire.RelayAnswer) (*endive.CellConfig, error) {
	encoded := answer.GetConfig()
	if compressed := answer.GetCompressedConfig(); len(compressed) > 0 {
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigBytes))
		if err != nil {
			return nil, endive.ErrInvalid.New("decodePeerConfig: %w", err)
		}
		encoded = data
	}
	if len(encoded) == 0 {
		return nil, nil
	}
	var config endive.CellConfig
	if err := json.Unmarshal(encoded, &config); err != nil {
		return nil, endive.ErrInvalid.New("decodePeerConfig: %w", err)
	}
	return &config, nil
}
