// Command meter generates load on running entries and reports waiting times, the
// utilization of workers (packing) and the cost of the control plane.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	p := newProgram()
	kingpin.MustParse(p.app.Parse(os.Args[1:]))
	if err := p.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "meter:", err)
		os.Exit(1)
	}
}
