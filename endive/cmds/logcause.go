package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const logCauseHelp = `
Shows why a job has failed or was cancelled, why its tasks were started again without
a report of the run before, and which of its runs were given up. Below each decision
stands what it rests on: crashes and ends of the task, what was known of the worker,
and the takeover if the holder was a new one. SINCE is the age of the evidence when the
decision was made; it is negative for what became known later, such as the report of a
run that was given up.

Examples:

  endive log cause 5c0e7a21d94b36f8 entry-*.log
  endive log cause 5c0e7a21d94b36f8 entry-*.log --json
`

// logCause is the command that shows the evidence behind the decisions about a job.
type logCause struct {
	job   string
	files []string
}

// finding is a decision about a job whose cause is of interest, and what it rests on.
type finding struct {
	Case     findingCase `json:"case"`
	Decision logLine     `json:"decision"`
	Evidence []logLine   `json:"evidence"`
}

// findingCase is the kind of a finding.
type findingCase string

const (
	// caseEnded is a job that has failed or was cancelled.
	caseEnded findingCase = "ended"
	// caseStartedAgain is a start of a task of whose run before no end was reported, or a success.
	caseStartedAgain findingCase = "started again"
	// caseGivenUp is a run that was given up and whose task hasn't started since.
	caseGivenUp findingCase = "given up"
)

// run implements command.
func (c *logCause) run(_ context.Context, s *session) error {
	lines, unparsed, err := readLogs(c.files, `"decision"`, func(l logLine) bool { return l.Job == c.job || l.Kind == "tenure" })
	if err != nil {
		return err
	}
	if unparsed > 0 {
		fmt.Fprintf(s.Stderr, "endive: %s could not be read\n", plural(unparsed, "line"))
	}
	found := findCauses(lines)
	if len(found) == 0 {
		fmt.Fprintf(s.Stderr, "endive: the logs show no failure, unreported run or second start of %s\n", c.job)
	}
	var rows []string
	for _, f := range found {
		rows = append(rows, f.rows()...)
	}
	return s.printTable(found, "CASE\tTIME\tSINCE\tENTRY\tKIND\tSUBJECT\tRUN\tWORKER\tOUTCOME\tEVIDENCE", rows)
}

// rows formats the finding as rows of the table.
func (f finding) rows() []string {
	rows := []string{string(f.Case) + "\t" + f.Decision.causeRow("")}
	for _, l := range f.Evidence {
		rows = append(rows, "\t"+l.causeRow(fmt.Sprintf("%.3f s", f.Decision.Time.Sub(l.Time).Seconds())))
	}
	return rows
}

// causeRow formats the line as a row of the table, but for the first cell.
func (l logLine) causeRow(age string) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Time.Format("15:04:05.000"), age, l.Entry, l.Kind, l.subject(), l.runText(), l.Worker, l.Outcome, l.known())
}

// known describes the evidence of the line in words. The end of a job has its reason as well.
func (l logLine) known() string {
	var parts []string
	if l.Evidence != "" {
		parts = append(parts, l.Evidence)
	}
	if l.Proven != nil && l.Unproven != nil {
		parts = append(parts, fmt.Sprintf("%d proven and %d unproven crashes", *l.Proven, *l.Unproven))
	}
	if l.LastAnswer != nil {
		parts = append(parts, "last answer "+millis(*l.LastAnswer)+" before")
	}
	if l.Lease != nil {
		parts = append(parts, leaseText(*l.Lease))
	}
	if l.Listed != nil {
		parts = append(parts, map[bool]string{true: "listed", false: "not listed"}[*l.Listed])
	}
	if l.PreviousRun != 0 {
		parts = append(parts, fmt.Sprintf("after run %d", l.PreviousRun))
	}
	if len(parts) == 0 || l.Kind == "job" {
		parts = append(parts, l.Reason)
	}
	return strings.Join(parts, ", ")
}

// leaseText describes the time until a worker's leases have surely expired.
func leaseText(left int64) string {
	if left < 0 {
		return "leases ended " + millis(-left) + " before"
	}
	return "leases end " + millis(left) + " later"
}

// millis formats a number of milliseconds.
func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }
