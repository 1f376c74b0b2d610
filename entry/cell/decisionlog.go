package cell

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// decisionLine is the log line of a decision. The logger would sort the keys by name. Collectors of logs
// may cut long lines, so the outcome and its subject come first here, and the free text last.
type decisionLine struct {
	Time    string            `json:"@timestamp"`
	Kind    flow.DecisionKind `json:"kind"`
	Outcome string            `json:"outcome"`
	Task    endive.TaskID     `json:"task,omitempty"`
	Run     endive.RunNumber  `json:"run,omitempty"`
	Worker  endive.WorkerID   `json:"worker,omitempty"`

	PreviousRun endive.RunNumber `json:"previousRun,omitempty"`
	Evidence    flow.Evidence    `json:"evidence,omitempty"`
	*crashFields
	*contactFields

	Job     endive.JobID    `json:"job,omitempty"`
	Pool    endive.PoolName `json:"pool"`
	Message string          `json:"@message"`
	Module  endive.EntryID  `json:"@module"`
	Level   string          `json:"@level"`
	Reason  string          `json:"reason"`
}

// crashFields are the fields of decisions about crashes under a task.
type crashFields struct {
	Proven   int `json:"provenCrashes"`
	Unproven int `json:"unprovenCrashes"`
}

// contactFields are the fields of decisions to give up runs, about their worker.
type contactFields struct {
	// LastAnswer is the age of the worker's last answer, in milliseconds; nil if there was none in this tenure.
	LastAnswer *int64 `json:"lastAnswerMillis,omitempty"`
	// Lease is the time until all leases of the worker have surely expired, in milliseconds; negative once
	// they have, and nil if none were granted.
	Lease  *int64 `json:"leaseMillis,omitempty"`
	Listed bool   `json:"listed"`
	// Reported is true if the worker's current incarnation has listed the run.
	Reported bool `json:"reported"`
}

// decisionMessage is the message of the lines about decisions.
const decisionMessage = "decision"

// errorOutcomes are the outcomes that are logged as errors.
var errorOutcomes = []string{flow.OutcomeRowRejected, flow.OutcomeSkipped, flow.OutcomeMalformed}

// logDecision logs and counts a decision.
func (p *pool) logDecision(decision flow.Decision) {
	p.cell.Counters.recordDecision(decision)
	level, enabled := hclog.Info, p.cell.Log.IsInfo()
	if slices.Contains(errorOutcomes, decision.Outcome) {
		level, enabled = hclog.Error, p.cell.Log.IsError()
	}
	if !enabled {
		return
	}
	line, err := json.Marshal(decisionLine{
		Time: time.Now().Format(hclog.TimeFormatJSON), Kind: decision.Kind, Outcome: decision.Outcome,
		Task: decision.Task, Run: decision.Run, Worker: decision.Worker, Job: decision.Job, PreviousRun: decision.PreviousRun,
		Evidence: decision.Evidence, crashFields: (*crashFields)(decision.Crashes), contactFields: newContactFields(decision.Contact, p.cell.Clock.Now()),
		Pool: p.name, Message: decisionMessage, Module: p.cell.Settings.Name, Level: level.String(), Reason: decision.Reason,
	})
	if err != nil {
		p.cell.Log.Error("can't encode a decision", "error", err.Error())
		return
	}
	// A log that can't be written can't be reported either.
	_, _ = p.cell.LogOutput.Write(append(line, '\n'))
}

// newContactFields returns the fields for what is known of a worker; nil if the decision isn't about that.
func newContactFields(contact *flow.Contact, now time.Time) *contactFields {
	if contact == nil {
		return nil
	}
	fields := &contactFields{Listed: contact.Listed, Reported: contact.Reported}
	if !contact.AnsweredAt.IsZero() {
		age := now.Sub(contact.AnsweredAt).Milliseconds()
		fields.LastAnswer = &age
	}
	if !contact.LeasesEnd.IsZero() {
		left := contact.LeasesEnd.Sub(now).Milliseconds()
		fields.Lease = &left
	}
	return fields
}
