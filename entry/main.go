// Command entry is the endiveroute process that runs on the users' entry instances.
// It serves client requests, places tasks on workers and applies change tickets.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"endiveroute.example/endive/setup"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
)

const usage = `The entry process of endiveroute.

It reads its settings from a TOML file; setup/sample.toml explains each key.

  entry --settings entry-1.toml --check   checks the file and exits: 0 if it is
                                          good, 2 with all findings if not
  entry --settings entry-1.toml           runs until SIGTERM or SIGINT
  entry --cell cell.toml                  runs workflows on the users' platform
                                          (deploy/cell.toml is the template)

SIGTERM is a graceful stop: the readiness check fails, requests in flight are
finished, slices are handed to other entries. A second signal ends the process
at once. Logs are JSON lines on standard error.`

func main() {
	app := kingpin.New("entry", usage)
	path := app.Flag("settings", "The settings file (TOML).").String()
	cellPath := app.Flag("cell", "The settings file (TOML) of an entry that runs workflows on the users' platform.").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	switch {
	case *path == "" && *cellPath == "" || *path != "" && *cellPath != "":
		app.Fatalf("specify exactly one of --settings and --cell")
	case *cellPath != "":
		runCell(*cellPath, *check)
		return
	}
	settings, err := setup.Load(*path)
	if *check || err != nil {
		setup.Report(os.Stderr, settings, err)
		if err != nil {
			os.Exit(exitSettings)
		}
		return
	}
	if err := newProgram(settings).run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// runCell loads the settings of an entry that runs workflows. With check it reports
// errors in them and returns; otherwise it runs the entry.
func runCell(path string, check bool) {
	settings, err := setup.LoadCell(path)
	if check || err != nil {
		setup.Report(os.Stderr, settings, err)
		if err != nil {
			os.Exit(exitSettings)
		}
		return
	}
	if err := newCellProgram(settings, path).run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
