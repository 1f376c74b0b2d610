package shell

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/entry/system"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/keep"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/member"
	"endiveroute.example/endive/peer"
	"endiveroute.example/endive/route"
	"endiveroute.example/endive/setup"
	"endiveroute.example/endive/slots"
	"endiveroute.example/endive/store"
	"endiveroute.example/endive/ticket"
)

// Shell runs the state machines of one entry. It is safe for concurrent use.
type Shell struct {
	settings    setup.Settings
	incarnation endive.Incarnation
	self        endive.Peer
	clock       endive.Clock
	log         hclog.Logger
	scope       tally.Scope
	store       *store.Client
	objects     endive.Objects
	instances   endive.Instances
	workers     endive.Workers
	executors   endive.Executors

	system     *system.System
	mesh       *peer.Mesh
	waiters    *waiters
	storeCalls inFlight

	member *role
	ticket *role
	lease  *role
	keep   *role
	route  *role
	intake *role
	keeper *keep.Machine

	// The newest values that the machines have published. They are read without
	// a request to a machine.
	config     atomic.Pointer[endive.Config]
	members    atomic.Pointer[endive.MembersChanged]
	readyUntil atomic.Pointer[time.Time]
	leaving    atomic.Bool

	mu      sync.Mutex
	placers map[endive.SliceID]*placer
	holders map[endive.SliceID]lease.Holder
	calls   map[endive.AttemptID]context.CancelFunc
	// awaitingIntent holds the requests whose intent isn't recorded yet.
	// intentRecorded holds those whose intent is recorded: their outcome goes to
	// the machine that records outcomes.
	awaitingIntent map[endive.RequestID]route.ClientRequest
	intentRecorded map[endive.RequestID]bool
	loads          loads

	done chan struct{}
}

// New returns a Shell. Its machines do nothing before Start is called.
func New(deps Deps) *Shell {
	settings := deps.Settings
	s := &Shell{
		settings:    settings,
		incarnation: deps.Incarnation,
		self: endive.Peer{
			ID: settings.Name, Incarnation: deps.Incarnation, Address: deps.PeerAddress,
			Region: settings.Region, Zone: settings.Zone,
		},
		clock: deps.Clock, log: deps.Log, scope: deps.Scope, store: deps.Store, objects: deps.Objects,
		instances: deps.Instances, workers: deps.Workers, executors: deps.Executors,
		waiters:        newWaiters(),
		placers:        make(map[endive.SliceID]*placer),
		holders:        make(map[endive.SliceID]lease.Holder),
		calls:          make(map[endive.AttemptID]context.CancelFunc),
		awaitingIntent: make(map[endive.RequestID]route.ClientRequest),
		intentRecorded: make(map[endive.RequestID]bool),
		done:           make(chan struct{}),
	}
	s.config.Store(&endive.Config{})
	s.members.Store(&endive.MembersChanged{Self: s.self})
	s.readyUntil.Store(&time.Time{})
	s.mesh = peer.New(s.self, s, &peerMeter{self: s.self, scope: deps.Scope}, deps.Log)
	s.system = system.New(s.log, func() {})
	s.spawnRoles()
	return s
}

func (s *Shell) spawnRoles() {
	id, incarnation := s.self.ID, s.incarnation
	s.member = s.spawn("member", member.New(s.self, s.seeds(), member.Settings{
		Heartbeat: s.settings.Timings.Heartbeat,
		List:      s.settings.Timings.InstancePoll,
	}))
	tickets := ticket.New(ticket.Settings{PollInterval: s.settings.Timings.ConfigPoll}, id, incarnation)
	s.ticket = s.spawn("ticket", tickets)
	s.ticket.after = func() { s.setReadyUntil(tickets.ReadyUntil()) }
	s.lease = s.spawn("lease", lease.New(lease.Settings{Lease: s.settings.Timings.SliceLease}, id, incarnation))
	s.keeper = keep.New(keep.Settings{}, id, incarnation)
	s.keep = s.spawn("keep", s.keeper)
	s.intake = s.spawn("intake", intake.New(endive.NewWriteIDs(id, incarnation, "intake")))
	s.route = s.spawn("route", route.New(route.DefaultSettings(id, incarnation),
		slots.NewOwners(s.self.ID), route.LowestLatency{}))
}

// seeds returns this entry and the peers from the settings.
func (s *Shell) seeds() endive.Peers {
	peers := endive.Peers{s.self}
	for _, p := range s.settings.Peers {
		peers = append(peers, endive.Peer{ID: p.Name, Address: p.Address, Region: p.Region, Zone: p.Zone})
	}
	return peers
}

// Start accepts connections of peers on the listener and starts the machines.
func (s *Shell) Start(peers net.Listener) {
	go (&peerServer{shell: s, listener: peers}).serve()
	for _, r := range s.roles() {
		r.send(endive.Wake{})
	}
	go s.collectLoads()
}

func (s *Shell) roles() []*role {
	return []*role{s.member, s.ticket, s.lease, s.keep, s.intake, s.route}
}

// peerServer accepts connections of peers.
type peerServer struct {
	shell    *Shell
	listener net.Listener
}

func (p *peerServer) serve() { p.shell.mesh.Serve(p.listener) }
