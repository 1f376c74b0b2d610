package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// Defaults of the global flags, and related constants.
const (
	defaultEntry     = endive.Address("127.0.0.1:8201")
	defaultTimeout   = endive.Interval(30 * time.Second)
	deadlineGrace    = endive.Interval(1 * time.Second)
	entryEnvVariable = "ENDIVE_ENTRY"
	askCommandName   = "ask"
)

const help = `Operates the endiveroute cluster scheduler: change tickets, jobs, requests to
services, and the state of entries.

Each command connects to the operators' address of an entry (--entry, or the
variable ENDIVE_ENTRY with addresses separated by commas). With several
addresses, a failed call is sent to the next one if it can't take effect twice.
"endive help COMMAND" shows examples.
`

// program is the parsed command line.
type program struct {
	app     *kingpin.Application
	entries []endive.Address
	json    bool
	timeout endive.Interval
	// timeoutGiven reports whether the user set --timeout.
	timeoutGiven bool
	// helpShown reports whether kingpin has shown a help text, so that no command runs.
	helpShown bool
	commands  map[string]command
}

// Run runs the program with its arguments and returns the exit status.
func Run(ctx context.Context, env Env, args []string) Status {
	p := newProgram(env)
	name, err := p.app.Parse(args)
	if p.helpShown {
		return StatusOK
	}
	if err != nil {
		return reportError(env.Stderr, p.json, &exitError{StatusUsage, err.Error(), `Run "endive help", or "endive help COMMAND" for examples.`})
	}
	if err := p.resolveEntries(env); err != nil {
		return reportError(env.Stderr, p.json, err)
	}
	s := &session{Env: env, client: client.New(env.Clock, p.entries...), json: p.json, timeout: p.timeout}
	if name == askCommandName && !p.timeoutGiven {
		// The entry applies the timeout in the service's configuration.
		s.timeout = endive.MaxTimeout
	}
	s.deadline = s.timeout.After(env.Clock.Now())
	s.timeoutGiven = p.timeoutGiven
	// The grace period leaves time to receive the entry's own answer that the deadline
	// has passed.
	ctx, cancel := context.WithDeadline(ctx, deadlineGrace.After(s.deadline))
	defer cancel()
	defer s.client.Close()
	if err := p.commands[name].run(ctx, s); err != nil {
		return reportError(env.Stderr, p.json, err)
	}
	return StatusOK
}

// newProgram defines the command line.
func newProgram(env Env) *program {
	p := &program{app: kingpin.New("endive", help+statusHelp), commands: make(map[string]command)}
	p.app.Terminate(p.setHelpShown)
	p.app.UsageWriter(env.Stdout)
	p.app.ErrorWriter(env.Stderr)
	p.app.UsageTemplate(usageTemplate())
	p.app.Flag("entry", "Address of an entry, IP and port; may be given several times. Default: "+string(defaultEntry)+", or ENDIVE_ENTRY.").
		PlaceHolder("ADDRESS").SetValue(addressesValue{&p.entries})
	p.app.Flag("json", "Write JSON instead of tables and sentences.").BoolVar(&p.json)
	p.app.Flag("timeout", "Timeout of the whole command.").Default(defaultTimeout.String()).
		IsSetByUser(&p.timeoutGiven).SetValue(intervalValue{&p.timeout})
	p.defineTickets()
	p.defineJobs()
	p.defineRequests()
	p.defineShow()
	p.defineSettings()
	p.defineLogs()
	return p
}

// setHelpShown records that kingpin has shown a help text. kingpin calls it instead of
// exiting the process.
func (p *program) setHelpShown(int) { p.helpShown = true }

// add defines a command; long is shown in its help.
func (p *program) add(parent commandParent, name, short, long string, run command) *kingpin.CmdClause {
	clause := parent.Command(name, short).HelpLong(strings.TrimLeft(long, "\n"))
	p.commands[clause.FullCommand()] = run
	return clause
}

// commandParent is the application, or a command that has subcommands.
type commandParent interface {
	Command(name, help string) *kingpin.CmdClause
}

// resolveEntries sets the addresses from the environment or the default unless a flag
// has set them.
func (p *program) resolveEntries(env Env) error {
	if len(p.entries) > 0 {
		return nil
	}
	text := env.Getenv(entryEnvVariable)
	if text == "" {
		text = string(defaultEntry)
	}
	if err := (addressesValue{&p.entries}).Set(text); err != nil {
		return &exitError{StatusUsage, fmt.Sprintf("%s: %s", entryEnvVariable, err), "Correct the variable, or give --entry."}
	}
	return nil
}

// usageTemplate returns kingpin's default template with the long help of a command added.
func usageTemplate() string {
	const usage = `{{template "FormatUsage" .Context.SelectedCommand}}`
	return strings.Replace(kingpin.DefaultUsageTemplate, usage, usage+`{{if .Context.SelectedCommand.HelpLong}}
{{.Context.SelectedCommand.HelpLong}}{{end}}`, 1)
}
