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
	// cellMaxConnections limits the connections to one address of the platform.
	cellMaxConnections = 48
	cellDialTimeout    = endive.Interval(700 * time.Millisecond)
	// cellIdleTimeout is how long an unused connection to a worker is kept open.
	cellIdleTimeout = endive.Interval(time.Minute)
	// idleShare is the divisor that gives the limit of idle connections from that of open files.
	// With thousands of workers, connections that wait for the next order would leave none for
	// calls and clients.
	idleShare = 3
	// handOverTimeout limits how long a planned stop waits until this entry holds no pool.
	handOverTimeout = 1500 * time.Millisecond
	// handOverPollInterval is the interval between two checks during that wait.
	handOverPollInterval = 20 * time.Millisecond
)

// cellProgram is the entry process that runs workflows on the users' platform.
type cellProgram struct {
	settings        setup.CellSettings
	settingsPath    string
	clock           endive.BootClock
	logWriter       *lines.Writer
	log             hclog.Logger
	metricsPage     *gauge.Page
	cell            *cell.Cell
	client, workers *plat.Client
	servers         []*httpServer
}

func newCellProgram(settings setup.CellSettings, path string) *cellProgram {
	writer := lines.New(os.Stdout)
	return &cellProgram{
		settings: settings, settingsPath: path, clock: endive.NewBootClock(), logWriter: writer, metricsPage: gauge.New(),
		log: hclog.New(&hclog.LoggerOptions{
			Name: string(settings.Name), Level: hclog.LevelFromString(settings.LogLevel), Output: writer, JSONFormat: true,
		}),
	}
}

// run serves until SIGTERM or SIGINT. SIGHUP reloads the settings.
func (p *cellProgram) run() error {
	p.logWriter.Start()
	defer p.logWriter.Close()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	scope, stopScope := p.metricsPage.NewScope(metricsReportInterval)
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
	p.log.Info("started", "revision", revision(), "settings", p.settings.String())
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		p.reload()
	}
	p.stop()
	return nil
}

// clientSettings returns the settings of connections, with a limit for each address.
func (p *cellProgram) clientSettings(maxConnections int) guard.Settings {
	settings := guard.Settings{
		MaxConnections: maxConnections, MaxIdle: p.settings.Limits.Descriptors / idleShare, DialTimeout: cellDialTimeout, IdleTimeout: cellIdleTimeout,
	}
	settings.Defaults()
	return settings
}

func (p *cellProgram) newCell(scope tally.Scope) *cell.Cell {
	counts := cell.NewCounters(p.metricsPage, scope)
	p.client = plat.NewClient(p.clientSettings(cellMaxConnections), p.clock, counts)
	p.workers = plat.NewClient(p.clientSettings(plat.MaxWorkerConnections), p.clock, counts)
	clock := plat.NewStoreClock(p.clock)
	rows := cell.NewStore(plat.NewStore(p.client, p.settings.Platform.Store, clock), p.clock, p.log)
	return cell.New(cell.Deps{
		Settings: p.settings, Incarnation: newIncarnation(), Clock: p.clock, Platform: clock, Log: p.log, LogOutput: p.logWriter, FlushLog: p.logWriter.Close, Counters: counts,
		Store: rows, Directory: plat.NewDirectory(rows), Fleet: plat.NewFleet(p.workers),
		Advisor: plat.NewAdvisor(p.client, p.settings.Platform.Advice),
	})
}

// listen opens the HTTP listeners. It returns the errors of all listeners together.
func (p *cellProgram) listen() error {
	var failures []error
	for _, spec := range []struct {
		name    string
		address endive.Address
		handler http.Handler
	}{
		{"callers", p.settings.Listen.Callers, plat.NewJobHandler(p.cell, p.cell.MaxBody, p.cell.Draining)},
		{"health", p.settings.Listen.Health, plat.NewReadinessHandler(p.cell.Ready)},
		{"metrics", p.settings.Listen.Metrics, withProfiles(p.metricsPage)},
	} {
		listener, err := net.Listen("tcp", string(spec.address))
		if err != nil {
			failures = append(failures, endive.ErrUnavailable.New("listen.%s: %w", spec.name, err))
			continue
		}
		p.servers = append(p.servers, &httpServer{
			name: spec.name, log: p.log, server: serve.HTTPServer(spec.handler), listener: listener,
		})
	}
	return errors.Join(failures...)
}

// reload reads the settings file again and applies the log level. All other settings
// stay unchanged until a restart. Errors in the file are logged.
func (p *cellProgram) reload() {
	settings, err := setup.LoadCell(p.settingsPath)
	if err != nil {
		p.log.Error("reload failed: invalid settings; keeping the current ones", "error", err.Error())
		return
	}
	p.log.SetLevel(hclog.LevelFromString(settings.LogLevel))
	p.log.Info("reloaded", "logLevel", settings.LogLevel, "needsRestart", settings != p.withLogLevel(settings.LogLevel))
}

// withLogLevel returns the current settings with another log level.
func (p *cellProgram) withLogLevel(level string) setup.CellSettings {
	settings := p.settings
	settings.LogLevel = level
	return settings
}

// stop shuts the entry down gracefully: the readiness check fails first, so that the load
// balancer stops sending requests; then the pools are handed over, and requests in
// flight are finished.
func (p *cellProgram) stop() {
	begin := p.clock.Now()
	p.log.Info("stopping", "grace", p.settings.Bounds.StopGrace.String())
	p.cell.Drain()
	for !p.cell.HoldsNoPool() && p.clock.Now().Sub(begin) < handOverTimeout {
		time.Sleep(handOverPollInterval)
	}
	if remaining := balancerDrainTime - p.clock.Now().Sub(begin); remaining > 0 {
		time.Sleep(remaining)
	}
	left := time.Duration(p.settings.Bounds.StopGrace)*3/4 - p.clock.Now().Sub(begin)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, handOverPollInterval))
	defer cancel()
	for _, s := range p.servers {
		if s.name == "callers" {
			s.shutdown(ctx)
		}
	}
	p.cell.Close()
	p.client.Close()
	p.workers.Close()
	p.log.Info("stopped", "milliseconds", p.clock.Now().Sub(begin).Milliseconds())
}
