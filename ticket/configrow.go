package ticket

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// configPrefix is the key prefix of the rows of configured resources.
const configPrefix = "config/"

// configRow is a configured resource with the version and revision of its row.
type configRow struct {
	endive.ConfiguredResource
	// Version is 0 if the resource was received from a peer.
	Version  endive.Version
	Revision endive.Revision
}

func configKey(key endive.ResourceKey) string { return configPrefix + string(key) }

// encodeConfigured returns the JSON value of a resource's row.
func encodeConfigured(c endive.ConfiguredResource) []byte {
	// Marshalling plain structs of strings and numbers can't fail.
	value, _ := json.Marshal(c)
	return value
}

// decodeConfigured decodes the value of a resource's row and checks that the value
// configures the resource with this key.
func decodeConfigured(key endive.ResourceKey, value []byte) (endive.ConfiguredResource, error) {
	var c endive.ConfiguredResource
	if err := json.Unmarshal(value, &c); err != nil {
		return endive.ConfiguredResource{}, errs.New("decodeConfigured: %s: %w", key, err)
	}
	var keys []endive.ResourceKey
	if c.Service != nil {
		keys = append(keys, c.Service.Key())
	}
	if c.Pool != nil {
		keys = append(keys, c.Pool.Key())
	}
	if c.Team != nil {
		keys = append(keys, c.Team.Key())
	}
	if c.Drain != nil {
		keys = append(keys, c.Drain.Key())
	}
	if c.Ticket == 0 || len(keys) != 1 || keys[0] != key {
		return endive.ConfiguredResource{}, errs.New("decodeConfigured: %s: ticket %d sets %q", key, c.Ticket, keys)
	}
	return c, nil
}

// decodeConfigRow decodes a resource's row from the table.
func decodeConfigRow(row endive.Row) (endive.ResourceKey, configRow, error) {
	key := endive.ResourceKey(strings.TrimPrefix(row.Key, configPrefix))
	c, err := decodeConfigured(key, row.Value)
	return key, configRow{ConfiguredResource: c, Version: row.Version, Revision: row.Revision}, err
}
