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

// Defaults of the flags that all commands have.
const (
	defaultEntry     = endive.Address("127.0.0.1:8201")
	defaultTimeout   = endive.Interval(30 * time.Second)
	deadlineGrace    = endive.Interval(1 * time.Second)
	entryEnvVariable = "ENDIVE_ENTRY"
	askCommandName   = "ask"
)

const help = `Drives the endiveroute cluster scheduler: change tickets, jobs, requests to
services, and what the entries know.

Each command talks to the operators' address of an entry (--entry, or the
variable ENDIVE_ENTRY with addresses separated by commas). With several
addresses the next one is tried where nothing can be done twice by that.
"endive help COMMAND" shows examples.
`

// program is the parsed command line.
type program struct {
	app     *kingpin.Application
	entries []endive.Address
	json    bool
	timeout endive.Interval
	// timeoutGiven says that the user has chosen the timeout.
	timeoutGiven bool
	// helpShown says that a help text was all that was asked for.
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
		// The service's configuration bounds the request.
		s.timeout = endive.MaxTimeout
	}
	s.deadline = s.timeout.After(env.Clock.Now())
	s.timeoutGiven = p.timeoutGiven
	// An entry's own answer about a passed deadline is worth waiting for.
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
	p.app.Flag("json", "Write JSON for scripts in place of tables and sentences.").BoolVar(&p.json)
	p.app.Flag("timeout", "Bound of the whole command.").Default(defaultTimeout.String()).
		IsSetByUser(&p.timeoutGiven).SetValue(intervalValue{&p.timeout})
	p.defineTickets()
	p.defineJobs()
	p.defineRequests()
	p.defineShow()
	p.defineSettings()
	p.defineLogs()
	return p
}

// setHelpShown notes that kingpin has shown a help text and would leave the program.
func (p *program) setHelpShown(int) { p.helpShown = true }

// add defines a command. The long text goes into its help.
func (p *program) add(parent commandParent, name, short, long string, run command) *kingpin.CmdClause {
	clause := parent.Command(name, short).HelpLong(strings.TrimLeft(long, "\n"))
	p.commands[clause.FullCommand()] = run
	return clause
}

// commandParent is an application or a command that others stand below.
type commandParent interface {
	Command(name, help string) *kingpin.CmdClause
}

// resolveEntries takes the addresses from the environment or the default, where
// no flag names any.
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

// usageTemplate is kingpin's template with the long help of a command.
func usageTemplate() string {
	const usage = `{{template "FormatUsage" .Context.SelectedCommand}}`
	return strings.Replace(kingpin.DefaultUsageTemplate, usage, usage+`{{if .Context.SelectedCommand.HelpLong}}
{{.Context.SelectedCommand.HelpLong}}{{end}}`, 1)
}
