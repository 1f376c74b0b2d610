package cmds

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// command is one command of the program.
type command interface {
	run(ctx context.Context, s *session) error
}

// session holds the environment and the options of one run of the program.
type session struct {
	Env
	client *client.Client
	json   bool
	// timeout bounds the duration of the whole command, which must end by deadline.
	timeout  endive.Interval
	deadline time.Time
	// timeoutGiven reports whether the user set --timeout.
	timeoutGiven bool
}

// printTable writes value as JSON if --json is given, else rows as a table with headings.
func (s *session) printTable(value any, headings string, rows []string) error {
	if s.json {
		return writeJSON(s.Stdout, value)
	}
	if len(rows) == 0 {
		_, err := fmt.Fprintln(s.Stdout, "none")
		return err
	}
	table := tabwriter.NewWriter(s.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, headings)
	for _, row := range rows {
		fmt.Fprintln(table, row)
	}
	return table.Flush()
}

// printResult writes value as JSON if --json is given, else the formatted text.
func (s *session) printResult(value any, format string, args ...any) error {
	if s.json {
		return writeJSON(s.Stdout, value)
	}
	_, err := fmt.Fprintf(s.Stdout, format+"\n", args...)
	return err
}

// warnPartial writes err as a warning and returns nil if other entries returned items
// (found > 0). Otherwise it returns err.
func (s *session) warnPartial(err error, found int) error {
	if err == nil || found == 0 {
		return err
	}
	fmt.Fprintf(s.Stderr, "endive: some entries did not answer: %s\n", err)
	return nil
}

// plural formats a count and its unit, in the plural unless the count is 1.
func plural(n int, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}

// row joins cells with tabs, with "-" for empty ones.
func row(cells ...any) string {
	text := ""
	for i, cell := range cells {
		if i > 0 {
			text += "\t"
		}
		if s := fmt.Sprint(cell); s != "" {
			text += s
		} else {
			text += "-"
		}
	}
	return text
}

// joinEntries formats entry ids as a list separated by commas.
func joinEntries(entries []endive.EntryID) string {
	if len(entries) == 0 {
		return "some entries"
	}
	text := ""
	for i, entry := range entries {
		if i > 0 {
			text += ", "
		}
		text += string(entry)
	}
	return text
}
