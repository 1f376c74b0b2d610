package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/cell"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/entry/lines"
	"endiveroute.example/endive/entry/serve"
	"endiveroute.example/endive/guard"
	plat "endiveroute.example/endive/platform"
	"endiveroute.example/endive/setup"
)

const (
	// cellConnections bounds the connections to one address of the platform or to
	// one worker.
	cellConnections = 48
	// cellDial bounds the opening of a connection.
	cellDial = endive.Interval(700 * time.Millisecond)
	// cellIdle is how long a connection to a worker is kept without a request.
	cellIdle = endive.Interval(time.Minute)
	// handOver bounds the wait for the pools to be handed over in a planned stop.
	handOver = 1500 * time.Millisecond
	// lookPeriod lies between two looks at whether they are.
	lookPeriod = 20 * time.Millisecond
)

// cellProgram is one run of the entry process on the users' platform.
type cellProgram struct {
	settings setup.CellSettings
	path     string
	clock    endive.BootClock
	lines    *lines.Writer
	log      hclog.Logger
	page     *gauge.Page
	cell     *cell.Cell
	client   *plat.Client
	servers  []*httpServer
}

func newCellProgram(settings setup.CellSettings, path string) *cellProgram {
	writer := lines.New(os.Stdout)
	return &cellProgram{
		settings: settings, path: path, clock: endive.NewBootClock(), lines: writer, page: gauge.New(),
		log: hclog.New(&hclog.LoggerOptions{
			Name: string(settings.Name), Level: hclog.LevelFromString(settings.LogLevel), Output: writer, JSONFormat: true,
		}),
	}
}

// run serves until a signal to stop comes.
func (p *cellProgram) run() error {
	p.lines.Start()
	defer p.lines.Close()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	scope, stopScope := p.page.NewScope(scopePeriod)
	defer stopScope()
	p.cell = p.newCell(scope)
	if err := p.listen(); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", string(p.settings.Listen.Peers))
	if err != nil {
		return endive.ErrUnavailable.New("listen.peers: %w", err)
	}
	p.cell.Start(peers)
	for _, s := range p.servers {
		go s.run()
	}
	p.log.Info("started", "settings", p.settings.String())
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		p.reload()
	}
	p.stop()
	return nil
}

func (p *cellProgram) newCell(scope tally.Scope) *cell.Cell {
	settings := guard.Settings{MaxConnections: cellConnections, DialTimeout: cellDial, IdleTimeout: cellIdle}
	settings.Defaults()
	counts := cell.NewCounters(scope)
	p.client = plat.NewClient(settings, p.clock, counts)
	clock := plat.NewStoreClock(p.clock)
	rows := cell.NewStore(plat.NewStore(p.client, p.settings.Platform.Store, clock), p.clock, p.log)
	return cell.New(cell.Deps{
		Settings: p.settings, Incarnation: newIncarnation(), Clock: p.clock, Platform: clock, Log: p.log, Counters: counts,
		Store: rows, Directory: plat.NewDirectory(rows), Fleet: plat.NewFleet(p.client),
		Advisor: plat.NewAdvisor(p.client, p.settings.Platform.Advice),
	})
}

// listen opens the listeners. All findings are reported together.
func (p *cellProgram) listen() error {
	var failures []error
	for _, one := range []struct {
		name    string
		address endive.Address
		handler http.Handler
	}{
		{"callers", p.settings.Listen.Callers, plat.NewJobHandler(p.cell, p.cell.MaxBody, p.cell.Draining)},
		{"health", p.settings.Listen.Health, plat.NewReadinessHandler(p.cell.Ready)},
		{"metrics", p.settings.Listen.Metrics, withProfiles(p.page)},
	} {
		listener, err := net.Listen("tcp", string(one.address))
		if err != nil {
			failures = append(failures, endive.ErrUnavailable.New("listen.%s: %w", one.name, err))
			continue
		}
		p.servers = append(p.servers, &httpServer{
			name: one.name, log: p.log, server: serve.HTTPServer(one.handler), listener: listener,
		})
	}
	return errors.Join(failures...)
}

// reload looks at the settings file again. What the entry listens on and whom it
// asks stays for this run; findings are logged.
func (p *cellProgram) reload() {
	settings, err := setup.LoadCell(p.path)
	if err != nil {
		p.log.Error("reload: the settings are wrong, the old ones stay", "error", err.Error())
		return
	}
	p.log.SetLevel(hclog.LevelFromString(settings.LogLevel))
	p.log.Info("reloaded", "logLevel", settings.LogLevel, "needsRestart", settings != p.withLevel(settings.LogLevel))
}

// withLevel returns the settings in use with another log level.
func (p *cellProgram) withLevel(level string) setup.CellSettings {
	settings := p.settings
	settings.LogLevel = level
	return settings
}

// stop ends the entry gracefully: the balancer learns of it first, the pools are
// handed over, and calls in flight are finished.
func (p *cellProgram) stop() {
	begin := p.clock.Now()
	p.log.Info("stopping", "grace", p.settings.Bounds.StopGrace.String())
	p.cell.Drain()
	for !p.cell.HoldsNoPool() && p.clock.Now().Sub(begin) < handOver {
		time.Sleep(lookPeriod)
	}
	if rest := balancerTime - p.clock.Now().Sub(begin); rest > 0 {
		time.Sleep(rest)
	}
	left := time.Duration(p.settings.Bounds.StopGrace)*3/4 - p.clock.Now().Sub(begin)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, lookPeriod))
	defer cancel()
	for _, s := range p.servers {
		if s.name == "callers" {
			s.shutdown(ctx)
		}
	}
	p.cell.Close()
	p.client.Close()
	p.log.Info("stopped", "milliseconds", p.clock.Now().Sub(begin).Milliseconds())
}
