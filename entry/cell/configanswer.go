package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// maxConfigWait is the maximum wait with an answer to another entry: a little longer than the
// long polls of the store that bring a newer version.
const maxConfigWait = time.Duration(configPollWait) + 100*time.Millisecond

// configAnswer answers another entry's request for the configuration.
type configAnswer struct {
	cell *Cell
	ask  *wire.RelayAsk
}

// execute returns the answer, after the wait for an update that the request allows. It doesn't confirm
// a version that is newer than this entry's own.
func (a *configAnswer) execute() *wire.RelayAnswer {
	l, asked := a.cell.config, endive.ConfigVersion(a.ask.GetConfigVersion())
	waited := a.awaitUpdate()
	// The configuration is at least as new as the revision that is read before it.
	revision, age := l.revision.Load(), l.age()
	config := l.current()
	if config == nil || config.Version < asked {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "this entry has no newer configuration", Receiving: l.receiving()}
	}
	answer := &wire.RelayAnswer{
		Status: wire.RelayStatus_RELAY_DONE, ConfirmedMillisAgo: age.Milliseconds() + 1, WaitedMillis: waited.Milliseconds() + 1,
		ConfigRevision: revision, Receiving: l.receiving(),
	}
	if config.Version == asked {
		return answer
	}
	if err := l.encoder.addTo(answer, config, a.ask.GetAcceptsCompressed()); err != nil {
		return &wire.RelayAnswer{Status: wire.RelayStatus_RELAY_UNAVAILABLE, Reason: "the configuration cannot be encoded: " + err.Error()}
	}
	return answer
}

// awaitUpdate waits until this entry's configuration is newer than the asker's or is confirmed once
// more, but not longer than the asker allows, and returns how long it waited.
func (a *configAnswer) awaitUpdate() time.Duration {
	wait := min(time.Duration(a.ask.GetWaitMillis())*time.Millisecond, maxConfigWait)
	updated := a.cell.config.updates.next()
	config := a.cell.config.current()
	if wait <= 0 || config != nil && config.Version > endive.ConfigVersion(a.ask.GetConfigVersion()) {
		return 0
	}
	began := a.cell.Clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-a.cell.ctx.Done():
	}
	return a.cell.Clock.Now().Sub(began)
}
