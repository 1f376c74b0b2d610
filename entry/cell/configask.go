package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// configAsk asks another entry for a newer configuration.
type configAsk struct {
	config *configLoop
	entry  endive.EntryID
	// wait is how long the entry may wait with its answer for an update.
	wait endive.Interval
	// timeout limits the wait for the answer.
	timeout endive.Interval
}

// run sends the request, unless another one has no answer yet, and applies the answer. It returns
// the answer, or nil if there is none or it confirms nothing.
func (a *configAsk) run() *wire.RelayAnswer {
	l, cell := a.config, a.config.cell
	if !l.asking.TryLock() {
		return nil
	}
	defer l.asking.Unlock()
	sentAt := cell.Clock.Now()
	answer := cell.relayClient.send(cell.ctx, a.entry, &wire.RelayAsk{
		Kind: wire.RelayKind_RELAY_CONFIG, ConfigVersion: int64(l.current().Version), AcceptsCompressed: true, WaitMillis: time.Duration(a.wait).Milliseconds(),
	}, time.Duration(a.timeout))
	a.log(answer, sentAt)
	if answer.GetStatus() != wire.RelayStatus_RELAY_DONE {
		return nil
	}
	received, err := decodePeerConfig(answer)
	if err != nil {
		cell.Log.Warn("can't decode the configuration of another entry", "entry", string(a.entry), "error", err.Error())
		return nil
	}
	if received != nil {
		l.encoder.keep(received.Version, answer.GetCompressedConfig())
		l.apply(received)
	}
	// The answer was given at the earliest so long after the request as the entry waited.
	waited := max(answer.GetWaitedMillis()-1, 0)
	l.confirm(sentAt.Add(time.Duration(waited-answer.GetConfirmedMillisAgo()) * time.Millisecond))
	return answer
}

// log logs a request, unless it was a poll that brought nothing new.
func (a *configAsk) log(answer *wire.RelayAnswer, sentAt time.Time) {
	size := len(answer.GetConfig()) + len(answer.GetCompressedConfig())
	if a.wait > 0 && size == 0 && answer.GetStatus() == wire.RelayStatus_RELAY_DONE {
		return
	}
	cell := a.config.cell
	cell.Log.Info("asked another entry for the configuration", "entry", string(a.entry), "answered", answer != nil, "bytes", size,
		"tookMillis", millisSince(cell.Clock.Now(), sentAt), "ageMillis", a.config.age().Milliseconds())
}
