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
	// run carries the command out.
	run(ctx context.Context, s *session) error
}

// session is one run of the program.
type session struct {
	Env
	client *client.Client
	json   bool
	// timeout bounds the whole command, and deadline is when it has passed.
	timeout  endive.Interval
	deadline time.Time
	// timeoutGiven says that the user has chosen the timeout.
	timeoutGiven bool
}

// printTable writes value as JSON, or rows as a table with a line of headings.
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

// printResult writes value as JSON, or a sentence.
func (s *session) printResult(value any, format string, args ...any) error {
	if s.json {
		return writeJSON(s.Stdout, value)
	}
	_, err := fmt.Fprintf(s.Stdout, format+"\n", args...)
	return err
}

// warnPartial warns of entries that gave no answer, where others did.
func (s *session) warnPartial(err error, found int) error {
	if err == nil || found == 0 {
		return err
	}
	fmt.Fprintf(s.Stderr, "endive: some entries gave no answer: %s\n", err)
	return nil
}

// plural formats a count with its unit.
func plural(n int, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}

// row formats the cells of a table's row.
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

// joinEntries lists entries for a person.
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
