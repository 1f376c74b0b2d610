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
	// executorConnections is what an executor takes from all entries together.
	executorConnections = 64
	// scopePeriod lies between two reports of the metrics.
	scopePeriod = time.Second
	// phasePeriod lies between two looks at whether the entry is ready.
	phasePeriod = 50 * time.Millisecond
)

// program is one run of the entry process.
type program struct {
	settings    setup.Settings
	incarnation endive.Incarnation
	log         hclog.Logger
	gate        *serve.Gate
	page        *gauge.Page
	shell       *shell.Shell
	store       *store.Client
	servers     []*httpServer
}

// newProgram returns a program that has opened nothing yet.
func newProgram(settings setup.Settings) *program {
	return &program{
		settings:    settings,
		incarnation: newIncarnation(),
		log: hclog.New(&hclog.LoggerOptions{
			Name: string(settings.Name), Level: hclog.LevelFromString(settings.LogLevel),
			Output: os.Stderr, JSONFormat: true,
		}),
		gate: serve.NewGate(),
		page: gauge.New(),
	}
}

// newIncarnation returns a name that no other run has.
func newIncarnation() endive.Incarnation {
	var b [8]byte
	// Read never fails: where the system has no randomness, it ends the process.
	_, _ = rand.Read(b[:])
	return endive.Incarnation(hex.EncodeToString(b[:]))
}

// run serves until a signal comes, and then stops gracefully.
func (p *program) run() error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	peers, err := net.Listen("tcp", string(p.settings.Listen.Peers))
	if err != nil {
		return endive.ErrUnavailable.New("listen.peers: %w", err)
	}
	scope, stopScope := p.page.NewScope(scopePeriod)
	defer stopScope()
	p.shell = p.newShell(scope, peers)
	if err := p.listen(scope); err != nil {
		return err
	}
	p.shell.Start(peers)
	for _, s := range p.servers {
		go s.run()
	}
	phases := newPhases(p.gate, p.shell)
	go phases.run()
	p.log.Info("started", "incarnation", string(p.incarnation), "callers", string(p.settings.Listen.Callers))
	<-signals
	phases.stop()
	p.stop(signals)
	return nil
}

// listen opens the HTTP listeners. All findings are reported together.
func (p *program) listen(scope tally.Scope) error {
	server := serve.New(serve.Config{
		Entry: p.settings.Name, Incarnation: p.incarnation, Backend: p.shell, Clock: endive.SystemClock{},
		Logger: p.log, Scope: scope, Limits: p.settings.Limits, Gate: p.gate,
	})
	var failures []error
	for _, one := range []struct {
		name    string
		address endive.Address
		handler http.Handler
	}{
		{"callers", p.settings.Listen.Callers, server.Callers()},
		{"operators", p.settings.Listen.Operators, server.Operators()},
		{"health", p.settings.Listen.Health, withProfiles(server.Health(p.page))},
	} {
		listener, err := net.Listen("tcp", string(one.address))
		if err != nil {
			failures = append(failures, endive.ErrUnavailable.New("listen.%s: %w", one.name, err))
			continue
		}
		p.servers = append(p.servers, &httpServer{
			name: one.name, log: p.log, server: serve.HTTPServer(one.handler),
			listener: serve.NewListener(listener, p.settings.Limits.Connections),
		})
	}
	return errors.Join(failures...)
}

// stop ends the entry gracefully, or at once where a second signal comes.
func (p *program) stop(signals chan os.Signal) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.settings.Timings.Stop))
	defer cancel()
	go (&secondSignal{signals: signals, log: p.log}).run()
	p.log.Info("stopping", "deadline", p.settings.Timings.Stop.String())
	p.gate.Set(serve.PhaseLeaving)
	p.shell.Leave()
	time.Sleep(balancerTime)
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

// balancerTime is how long the balancer may go on sending callers here after
// the readiness check fails.
const balancerTime = 2 * time.Second

// newShell builds the shell with its clients of the platform.
func (p *program) newShell(scope tally.Scope, peers net.Listener) *shell.Shell {
	clock := endive.SystemClock{}
	region := p.settings.Region
	platform := rest.NewClient(guardSettings(guard.DefaultMaxConnections), clock, region, p.incarnation)
	storeSettings := store.Settings{Timeout: p.settings.Timings.TableTimeout}
	storeSettings.Defaults()
	seed := mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())
	p.store = store.New(table.New(platform, p.settings.Platform.Table), clock, mathrand.New(seed),
		p.settings.Name, p.incarnation, storeSettings)
	share := max(1, executorConnections/(len(p.settings.Peers)+1))
	return shell.New(shell.Deps{
		Settings: p.settings, Incarnation: p.incarnation, PeerAddress: endive.Address(peers.Addr().String()),
		Clock: clock, Log: p.log, Scope: scope, Store: p.store,
		Objects:   object.New(platform, p.settings.Platform.Objects),
		Instances: insts.New(platform, p.settings.Platform.Instances),
		Workers:   worker.New(rest.NewClient(guardSettings(workerConnections), clock, region, p.incarnation)),
		Executors: exec.New(guardSettings(share), clock, region),
	})
}

// workerConnections bounds the connections to one worker.
const workerConnections = 2

func guardSettings(connections int) guard.Settings {
	settings := guard.Settings{MaxConnections: connections}
	settings.Defaults()
	return settings
}
