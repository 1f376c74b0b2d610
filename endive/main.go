// Command endive is the command-line tool of the endiveroute cluster scheduler, for
// its operators and clients.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"endiveroute.example/endive"
	"endiveroute.example/endive/endive/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	// Without this, kingpin would expand an argument that begins with "@" as a file of
	// arguments, and the body of a request may begin with "@".
	kingpin.EnableFileExpansion = false
	env := cmds.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Clock: endive.SystemClock{}}
	os.Exit(int(cmds.Run(ctx, env, os.Args[1:])))
}
