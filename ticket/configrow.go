package ticket

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// configPrefix stands before the keys of configured resources.
const configPrefix = "config/"

// configRow is a configured resource as the table has it.
type configRow struct {
	endive.ConfiguredResource
	// Version is 0 where the resource was learned from a peer.
	Version  endive.Version
	Revision endive.Revision
}

// configKey returns the key of a resource's row.
func configKey(key endive.ResourceKey) string { return configPrefix + string(key) }

// encodeConfigured returns the value of a row.
func encodeConfigured(c endive.ConfiguredResource) []byte {
	// Marshalling plain structs of strings and numbers can't fail.
	value, _ := json.Marshal(c)
	return value
}

// decodeConfigured reads the value of the row of a resource, and checks that it
// is about that resource.
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

// decodeConfigRow reads a row of the table.
func decodeConfigRow(row endive.Row) (endive.ResourceKey, configRow, error) {
	key := endive.ResourceKey(strings.TrimPrefix(row.Key, configPrefix))
	c, err := decodeConfigured(key, row.Value)
	return key, configRow{ConfiguredResource: c, Version: row.Version, Revision: row.Revision}, err
}
