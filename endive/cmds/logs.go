package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

const logFollowHelp = `
Follows one job, or one of its tasks, through the logs of all entries: lists each
decision in the order of time, with the entry that made it, its reason and its
outcome. Lines that can't be parsed are skipped and counted.

Examples:

  endive log follow 5c0e7a21d94b36f8 entry-*.log
  endive log follow 5c0e7a21d94b36f8.0.1.17 entry-*.log --json
`

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// defineLogs defines the commands about collected logs.
func (p *program) defineLogs() {
	group := p.app.Command("log", "Collected logs of entries.")
	follow := &logFollow{}
	command := p.add(group, "follow", "Follow a job through the logs of all entries.", logFollowHelp, follow)
	command.Arg("id", "The id of a job or a task.").Required().StringVar(&follow.id)
	command.Arg("file", "Log files.").Required().StringsVar(&follow.files)
	cause := &logCause{}
	command = p.add(group, "cause", "Show why a job failed, or its tasks started again.", logCauseHelp, cause)
	command.Arg("job", "The id of a job.").Required().StringVar(&cause.job)
	command.Arg("file", "Log files.").Required().StringsVar(&cause.files)
	report := &logReport{}
	command = p.add(group, "report", "Show how long workflows spent in each stage.", logReportHelp, report)
	command.Flag("every", "Also report each interval of this length separately.").DurationVar(&report.every)
	command.Arg("file", "Log files.").Required().StringsVar(&report.files)
}

// logFollow is the command that lists the decisions about a job or a task.
type logFollow struct {
	id    string
	files []string
}

// logLine is a log line of an entry.
type logLine struct {
	Time    time.Time `json:"@timestamp"`
	Entry   string    `json:"@module"`
	Message string    `json:"@message"`
	Kind    string    `json:"kind"`
	Pool    string    `json:"pool,omitempty"`
	Queue   string    `json:"queue,omitempty"`
	Job     string    `json:"job,omitempty"`
	Task    string    `json:"task,omitempty"`
	Run     int64     `json:"run,omitempty"`
	Worker  string    `json:"worker,omitempty"`
	Outcome string    `json:"outcome"`
	Millis  int64     `json:"millis,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	// Evidence is the kind of evidence behind the decision. The other fields tell more of it, as far as they
	// apply: crashes under the task, the worker's last answer and leases, and the run before a start.
	Evidence    string `json:"evidence,omitempty"`
	Proven      *int   `json:"provenCrashes,omitempty"`
	Unproven    *int   `json:"unprovenCrashes,omitempty"`
	LastAnswer  *int64 `json:"lastAnswerMillis,omitempty"`
	Lease       *int64 `json:"leaseMillis,omitempty"`
	Listed      *bool  `json:"listed,omitempty"`
	PreviousRun int64  `json:"previousRun,omitempty"`
}

// matches reports whether the line is about the job or task with the id.
func (l logLine) matches(id string) bool {
	return l.Job == id || l.Task == id || strings.HasPrefix(l.Task, id+".") || strings.Contains(l.Reason, id)
}

// row formats the line as a row of the table, with the time elapsed since first.
func (l logLine) row(first time.Time) string {
	return fmt.Sprintf("%s\t+%.3f s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Time.Format("15:04:05.000"), l.Time.Sub(first).Seconds(),
		l.Entry, l.Kind, l.subject(), l.runText(), l.Worker, l.Outcome, l.Reason)
}

// subject returns the id of the task that the line is about, or of the job.
func (l logLine) subject() string {
	if l.Task != "" {
		return l.Task
	}
	return l.Job
}

// runText formats the run's number; empty if the line is about none.
func (l logLine) runText() string {
	if l.Run == 0 {
		return ""
	}
	return fmt.Sprint(l.Run)
}

// run implements command.
func (c *logFollow) run(_ context.Context, s *session) error {
	matching, unparsed, err := readLogs(c.files, c.id, func(l logLine) bool { return l.matches(c.id) })
	if err != nil {
		return err
	}
	rows := make([]string, 0, len(matching))
	for _, line := range matching {
		rows = append(rows, line.row(matching[0].Time))
	}
	if unparsed > 0 {
		fmt.Fprintf(s.Stderr, "endive: %s could not be read\n", plural(unparsed, "line"))
	}
	return s.printTable(matching, "TIME\tSINCE\tENTRY\tKIND\tSUBJECT\tRUN\tWORKER\tOUTCOME\tREASON", rows)
}

// readLogs reads the log lines in which the given text occurs. It returns those for which
// wanted is true, sorted by time, and the number of those that can't be parsed.
func readLogs(names []string, text string, wanted func(logLine) bool) ([]logLine, int, error) {
	matching := []logLine{}
	unparsed := 0
	for _, name := range names {
		lines, bad, err := readLog(name, text, wanted)
		if err != nil {
			return nil, 0, err
		}
		matching = append(matching, lines...)
		unparsed += bad
	}
	sort.SliceStable(matching, func(i, j int) bool { return matching[i].Time.Before(matching[j].Time) })
	return matching, unparsed, nil
}

// readLog reads the lines of one file in which the given text occurs. It returns those for
// which wanted is true, and the number of those that can't be parsed.
func readLog(name, text string, wanted func(logLine) bool) ([]logLine, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	var matching []logLine
	unparsed := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), text) {
			continue
		}
		var line logLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			unparsed++
			continue
		}
		if wanted(line) {
			matching = append(matching, line)
		}
	}
	return matching, unparsed, scanner.Err()
}
