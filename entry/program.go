package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/entry/serve"
	"endiveroute.example/endive/entry/shell"
	"endiveroute.example/endive/exec"
	"endiveroute.example/endive/guard"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/object"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/setup"
	"endiveroute.example/endive/store"
	"endiveroute.example/endive/table"
	"endiveroute.example/endive/worker"
)

const (
	// maxExecutorConnections is how many connections an executor accepts from all entries
	// together.
	maxExecutorConnections = 64
	// metricsReportInterval is the interval between two updates of the metrics page.
	metricsReportInterval = time.Second
	// phaseUpdateInterval is the interval between two checks whether the entry is ready.
	phaseUpdateInterval = 50 * time.Millisecond
)

// program is the entry process that routes requests to the users' executors.
type program struct {
	settings    setup.Settings
	incarnation endive.Incarnation
	log         hclog.Logger
	gate        *serve.Gate
	metricsPage *gauge.Page
	shell       *shell.Shell
	store       *store.Client
	servers     []*httpServer
}

// newProgram returns a program without open listeners or connections.
func newProgram(settings setup.Settings) *program {
	return &program{
		settings:    settings,
		incarnation: newIncarnation(),
		log: hclog.New(&hclog.LoggerOptions{
			Name: string(settings.Name), Level: hclog.LevelFromString(settings.LogLevel),
			Output: os.Stderr, JSONFormat: true,
		}),
		gate:        serve.NewGate(),
		metricsPage: gauge.New(),
	}
}

// newIncarnation returns a random identifier of this run of the process.
func newIncarnation() endive.Incarnation {
	var b [8]byte
	// Read never returns an error: it ends the process if the system has no random source.
	_, _ = rand.Read(b[:])
	return endive.Incarnation(hex.EncodeToString(b[:]))
}

// run serves until SIGTERM or SIGINT and then stops gracefully.
func (p *program) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	peers, err := net.Listen("tcp", string(p.settings.Listen.Peers))
	if err != nil {
		return endive.ErrUnavailable.New("listen.peers: %w", err)
	}
	scope, stopScope := p.metricsPage.NewScope(metricsReportInterval)
	defer stopScope()
	p.shell = p.newShell(scope, peers)
	if err := p.listen(scope); err != nil {
		return err
	}
	p.shell.Start(peers)
	for _, s := range p.servers {
		go s.run()
	}
	phases := newPhaseUpdater(p.gate, p.shell)
	go phases.run()
	p.log.Info("started", "incarnation", string(p.incarnation), "callers", string(p.settings.Listen.Callers))
	<-signals
	phases.stop()
	p.stop(signals)
	return nil
}

// listen opens the HTTP listeners. It returns the errors of all listeners together.
func (p *program) listen(scope tally.Scope) error {
	server := serve.New(serve.Config{
		Entry: p.settings.Name, Incarnation: p.incarnation, Backend: p.shell, Clock: endive.SystemClock{},
		Logger: p.log, Scope: scope, Limits: p.settings.Limits, Gate: p.gate,
	})
	var failures []error
	for _, spec := range []struct {
		name    string
		address endive.Address
		handler http.Handler
	}{
		{"callers", p.settings.Listen.Callers, server.ClientHandler()},
		{"operators", p.settings.Listen.Operators, server.OperatorHandler()},
		{"health", p.settings.Listen.Health, withProfiles(server.Health(p.metricsPage))},
	} {
		listener, err := net.Listen("tcp", string(spec.address))
		if err != nil {
			failures = append(failures, endive.ErrUnavailable.New("listen.%s: %w", spec.name, err))
			continue
		}
		p.servers = append(p.servers, &httpServer{
			name: spec.name, log: p.log, server: serve.HTTPServer(spec.handler),
			listener: serve.NewListener(listener, p.settings.Limits.Connections),
		})
	}
	return errors.Join(failures...)
}

// stop shuts the entry down gracefully. A second signal ends the process at once.
func (p *program) stop(signals chan os.Signal) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.Timings.Stop))
	defer cancel()
	go (&secondSignal{signals: signals, log: p.log}).run()
	p.log.Info("stopping", "deadline", p.settings.Timings.Stop.String())
	p.gate.Set(serve.PhaseLeaving)
	p.shell.Leave()
	time.Sleep(balancerDrainTime)
	p.gate.Set(serve.PhaseStopping)
	for _, s := range p.servers {
		if s.name != "health" {
			s.shutdown(ctx)
		}
	}
	p.shell.Stop(ctx)
	p.store.Close()
	for _, s := range p.servers {
		s.server.Close()
	}
	p.log.Info("stopped", "milliseconds", time.Since(start).Milliseconds())
}

// balancerDrainTime is how long the load balancer may keep sending requests to this entry
// after its readiness check has begun to fail.
const balancerDrainTime = 2 * time.Second

// newShell returns the shell with its clients for the platform's services.
func (p *program) newShell(scope tally.Scope, peers net.Listener) *shell.Shell {
	clock := endive.SystemClock{}
	region := p.settings.Region
	platform := rest.NewClient(guardSettings(guard.DefaultMaxConnections), clock, region, p.incarnation)
	storeSettings := store.Settings{Timeout: p.settings.Timings.TableTimeout}
	storeSettings.Defaults()
	seed := mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())
	p.store = store.New(table.New(platform, p.settings.Platform.Table), clock, mathrand.New(seed),
		p.settings.Name, p.incarnation, storeSettings)
	share := max(1, maxExecutorConnections/(len(p.settings.Peers)+1))
	return shell.New(shell.Deps{
		Settings: p.settings, Incarnation: p.incarnation, PeerAddress: endive.Address(peers.Addr().String()),
		Clock: clock, Log: p.log, Scope: scope, Store: p.store,
		Objects:   object.New(platform, p.settings.Platform.Objects),
		Instances: insts.New(platform, p.settings.Platform.Instances),
		Workers:   worker.New(rest.NewClient(guardSettings(maxWorkerConnections), clock, region, p.incarnation)),
		Executors: exec.New(guardSettings(share), clock, region),
	})
}

// maxWorkerConnections limits the connections to one worker.
const maxWorkerConnections = 2

func guardSettings(connections int) guard.Settings {
	settings := guard.Settings{MaxConnections: connections}
	settings.Defaults()
	return settings
}
