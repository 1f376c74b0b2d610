package flow

import (
	"encoding/json"

	"endiveroute.example/endive"
)

// handleStored adds a workflow that an entry has just stored. The notice may be late, of a workflow that has ended and
// whose rows are gone. A holder knows all that ended in its tenure, so it takes a notice only of workflows that were
// surely accepted after it had loaded the rows. The feed delivers the others, if they are still stored.
func (m *Machine) handleStored(e WorkflowStored) {
	var s endive.Submission
	if !m.tenure.loaded || json.Unmarshal(e.Row.Value, &s) != nil || s.Accepted == 0 || !m.clock.Known() {
		return
	}
	if m.clock.Earliest(s.Accepted).Before(m.tenure.loadedAt) {
		return
	}
	m.applyWorkRows([]endive.Row{e.Row})
}
