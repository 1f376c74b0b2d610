package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// configAsk asks another entry for a newer configuration.
type configAsk struct {
	cell    *Cell
	entry   endive.EntryID
	timeout time.Duration
}

// run sends the request, and applies the configuration of the answer if it has one. It reports
// whether the entry confirmed this entry's configuration, or had a newer one.
func (a *configAsk) run() bool {
	config, sentAt := a.cell.config, a.cell.Clock.Now()
	answer := a.cell.relayClient.send(a.cell.ctx, a.entry, &wire.RelayAsk{
		Kind: wire.RelayKind_RELAY_CONFIG, ConfigVersion: int64(config.current().Version), AcceptsCompressed: true,
	}, a.timeout)
	a.cell.Log.Info("asked another entry for the configuration", "entry", string(a.entry), "answered", answer != nil,
		"bytes", len(answer.GetConfig())+len(answer.GetCompressedConfig()), "tookMillis", millisSince(a.cell.Clock.Now(), sentAt), "ageMillis", config.age().Milliseconds())
	if answer.GetStatus() != wire.RelayStatus_RELAY_DONE {
		return false
	}
	received, err := decodePeerConfig(answer)
	if err != nil {
		a.cell.Log.Warn("can't decode the configuration of another entry", "entry", string(a.entry), "error", err.Error())
		return false
	}
	if received != nil {
		config.apply(received)
	}
	config.confirm(sentAt.Add(-time.Duration(answer.GetConfirmedMillisAgo()) * time.Millisecond))
	return true
}
