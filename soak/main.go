// Command soak runs entries as processes on loopback, injects faults from outside
// them, and checks what callers and workers see. A seed gives the order of faults.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const usage = `A fault soak of the platform path.

It starts entries as processes, with stand-ins of the store, the workers and the
advice service behind loopback proxies. While clients submit, ask and cancel, it
delays, resets and silences connections, kills, pauses, stops and restarts entries,
restarts workers, and has the store refuse, lose answers or forget its history. It
checks that no task runs twice at a time or after it was done, that refused work
never runs, and that all accepted work ends once the faults do.

  soak --entry bin/entry --seed 7 --seconds 20

It ends only processes that it started. The exit status is 1 where a check failed.`

func main() {
	app := kingpin.New("soak", usage)
	entry := app.Flag("entry", "The entry program.").Required().String()
	seed := app.Flag("seed", "Gives the order of faults.").Default("1").Int64()
	seconds := app.Flag("seconds", "How long faults are injected.").Default("20").Int()
	entries := app.Flag("entries", "How many entries run.").Default("3").Int()
	workers := app.Flag("workers", "How many workers there are.").Default("6").Int()
	dir := app.Flag("dir", "Where settings and logs are kept.").Default(os.TempDir()).String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := newSoak(*entry, *dir, *seed, *entries, *workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	findings := s.run(time.Duration(*seconds) * time.Second)
	s.stop()
	for _, one := range findings {
		fmt.Println("FINDING", one)
	}
	fmt.Printf("seed %d: %d submitted, %d accepted, %d refused, %d unknown, %d runs, %d faults, %d findings\n",
		*seed, s.clients.submitted, s.clients.accepted, s.clients.refused, s.clients.unknown, s.checks.startCount(), s.faultCount, len(findings))
	if len(findings) > 0 {
		fmt.Println("logs are in", s.dir)
		os.Exit(1)
	}
}
