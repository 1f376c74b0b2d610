package place

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// usageInterval is the minimum interval between writes of the teams' usage.
// Until other holders have read a write, they can start tasks that take a team
// above its quota.
const usageInterval = 2 * time.Second

// teamUsage tracks the teams' usage of the other slices, and when to publish
// the usage of this slice.
type teamUsage struct {
	scanner scanner
	bySlice map[string]map[endive.TeamName]endive.Resources
	// dirty is set if this slice's usage row is out of date.
	dirty       bool
	nextWriteAt time.Time
	// quotasConfigured is set if any team has a quota. Without quotas no usage is
	// exchanged.
	quotasConfigured bool
}

// configureQuotas sets the teams' quotas from the current configuration.
func (m *Machine) configureQuotas() {
	m.usages.quotasConfigured = false
	for _, c := range m.config.Resources {
		if c.Team != nil && c.Team.Quota != (endive.Resources{}) {
			m.usages.quotasConfigured = true
		}
	}
	for _, t := range m.teams {
		m.updateQuota(t)
	}
	m.usages.dirty = m.usages.quotasConfigured
}

// handleUsageRows updates the teams' usage of the other slices.
func (m *Machine) handleUsageRows(changes endive.Changes) {
	u := &m.usages
	u.scanner.after = changes.Revision
	for _, row := range changes.Rows {
		var usage rows.Usage
		if row.Key == rows.UsageKey(m.slice.ID) || !row.Deleted && json.Unmarshal(row.Value, &usage) != nil {
			continue
		}
		u.bySlice[row.Key] = usage.Teams
	}
	if len(changes.Rows) > 0 {
		for _, t := range m.teams {
			t.otherUsage = u.otherUsage(t.name)
		}
		m.passNeeded = true
	}
}

// otherUsage returns a team's total usage of the other slices.
func (u *teamUsage) otherUsage(name endive.TeamName) endive.Resources {
	var sum endive.Resources
	for _, teams := range u.bySlice {
		sum = sum.Add(teams[name])
	}
	return sum
}

// scheduleUsageWrite schedules the writing of this slice's usage if it has
// changed.
func (m *Machine) scheduleUsageWrite() {
	u := &m.usages
	if !u.dirty || !u.quotasConfigured || m.now.Before(u.nextWriteAt) {
		return
	}
	u.dirty, u.nextWriteAt = false, m.now.Add(usageInterval)
	m.recorder.usageDirty = true
	m.scheduleFlush()
}

// addUsage adds the usage of the teams with a quota to the transaction.
func (m *Machine) addUsage(txn *transaction) {
	m.recorder.usageDirty, txn.usage = false, true
	usage := rows.Usage{Teams: make(map[endive.TeamName]endive.Resources)}
	for _, t := range m.ranking {
		if t.quota != (endive.Resources{}) && t.usage != (endive.Resources{}) {
			usage.Teams[t.name] = t.usage
		}
	}
	txn.put(rows.UsageKey(m.slice.ID), usage)
}
