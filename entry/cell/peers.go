package cell

import (
	"net"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
	"endiveroute.example/endive/peer"
	"endiveroute.example/endive/wire"
)

const (
	// prefixEntries is where entries register themselves, each in a row of its
	// name.
	prefixEntries = "entries//"
	// registration lies between two writes of an entry's row.
	registration = 3 * time.Second
	// entryAge is how old the row of a living entry gets at most.
	entryAge = 10 * time.Second
	// forgottenAge is when the row of an entry that is gone is deleted.
	forgottenAge = 60 * time.Second
	// entriesPoll lies between two looks at the rows of the others.
	entriesPoll = time.Second
	// fullMesh is up to how many entries are all linked with each other. Beyond it
	// each links to so many, and to those that ask it something.
	fullMesh = 16
)

// peers knows the other entries and holds the sessions with them.
type peers struct {
	cell *Cell
	mesh *peer.Mesh

	mu   sync.Mutex
	rows map[endive.EntryID]entryRow
	// known says that the rows of all entries have probably been read.
	known bool
	// knownSince is when rows of others were read first.
	knownSince time.Time
	// askers are entries that asked something lately.
	askers map[endive.EntryID]time.Time
	// heard is when something came from each entry last.
	heard map[endive.EntryID]time.Time
	// startedAt is when this process first had the platform's time.
	startedAt endive.PlatformTime
	linked    map[endive.EntryID]bool
}

func newPeers(c *Cell) *peers {
	p := &peers{
		cell: c, rows: make(map[endive.EntryID]entryRow), askers: make(map[endive.EntryID]time.Time),
		linked: make(map[endive.EntryID]bool), heard: make(map[endive.EntryID]time.Time),
	}
	p.mesh = peer.New(p.own(), p, c.Counters, c.Log)
	p.mesh.SetWatcher(p)
	return p
}

// serve accepts the sessions of other entries.
func (p *peers) serve(listener net.Listener) { go (&peerServer{peers: p, listener: listener}).run() }

// peerServer accepts the sessions of peers.
type peerServer struct {
	peers    *peers
	listener net.Listener
}

func (s *peerServer) run() {
	if err := s.peers.mesh.Serve(s.listener); err != nil {
		s.peers.cell.Log.Error("peers can't connect any more", "error", err.Error())
	}
}

// run registers this entry and follows the others.
func (p *peers) run() {
	var after endive.Revision
	var registerAt time.Time
	for p.cell.ctx.Err() == nil {
		// The rows are read first, which tells whether this entry registered before.
		after = p.follow(after)
		if now := p.cell.Clock.Now(); after > 0 && !now.Before(registerAt) && p.register() {
			registerAt = now.Add(registration)
		}
		p.link()
		p.cell.pause(entriesPoll * time.Duration(p.rarity()))
	}
}

// link opens sessions to the entries that this one works with.
func (p *peers) link() {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var others endive.Peers
	for id, row := range p.rows {
		if id != p.cell.Settings.Name && row.living(p.cell.Platform.AtLeast(now)) {
			others = append(others, row.peer(id))
		}
	}
	p.cell.helpers.lanes.assign(append(others, p.own()))
	others = p.nearest(others, now)
	clear(p.linked)
	for _, one := range others {
		p.linked[one.ID] = true
	}
	p.mesh.SetPeers(others)
	p.cell.helpers.changed(others)
}

// own returns this entry as a peer of the others.
func (p *peers) own() endive.Peer { return p.ownRow().peer(p.cell.Settings.Name) }

// nearest leaves of many entries a part that spreads the links, those that hold a
// pool or may soon, and all that asked something lately.
func (p *peers) nearest(others endive.Peers, now time.Time) endive.Peers {
	sort.Slice(others, func(i, j int) bool { return p.cell.order(others[i].ID) > p.cell.order(others[j].ID) })
	if len(others) <= fullMesh {
		return others
	}
	kept := others[:fullMesh:fullMesh]
	wanted := p.cell.holders()
	for _, id := range p.suited("")[:suitedLinks] {
		wanted[id] = true
	}
	for _, one := range others[fullMesh:] {
		if asked, ok := p.askers[one.ID]; ok && now.Sub(asked) < entryAge || wanted[one.ID] {
			kept = append(kept, one)
		}
	}
	return kept
}

// asked notes that an entry asked something, and links to it for the answer.
func (p *peers) asked(from endive.EntryID) {
	p.mu.Lock()
	known := p.linked[from]
	p.askers[from] = p.cell.Clock.Now()
	p.mu.Unlock()
	if !known {
		p.link()
	}
}

// ConnectionRefused implements peer.Watcher: the process of an entry has ended, so the pools
// that it held are free.
func (p *peers) ConnectionRefused(one endive.Peer) {
	for _, pool := range p.cell.allPools() {
		pool.send(toElect, elect.HolderSuspected{Holder: one.ID, Incarnation: one.Incarnation})
	}
}

// hear notes that something came from an entry.
func (p *peers) hear(from endive.EntryID) {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[from] = now
}

// heardSince reports whether something has come from an entry since a time.
func (p *peers) heardSince(id endive.EntryID, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard[id].After(since)
}

// Deliver implements peer.Inbox.
func (p *peers) Deliver(from endive.EntryID, incarnation endive.Incarnation, message proto.Message) {
	p.hear(from)
	switch m := message.(type) {
	case *wire.AdviceAsk:
		p.asked(from)
		p.cell.adviser.askFor(from, m)
	case *wire.AdviceAnswer:
		p.cell.helpers.answered(from, m)
	case *wire.AdviceNote:
		p.cell.adviceNoted(m)
	case *wire.PoolHandOver:
		p.cell.handedOver(m)
	case *wire.RelayAsk:
		switch m.GetKind() {
		case wire.RelayKind_RELAY_TAKE:
			p.offered(from, incarnation, endive.PoolName(m.GetPool()))
			return
		case wire.RelayKind_RELAY_TAKEN:
			p.taken(from, endive.PoolName(m.GetPool()), endive.Epoch(m.GetEpoch()))
			return
		case wire.RelayKind_RELAY_STORED:
			p.cell.stored(endive.PoolName(m.GetPool()), endive.JobID(m.GetJob()), m.GetSubmission())
			return
		}
		p.asked(from)
		go (&relayed{cell: p.cell, from: from, ask: m}).run()
	case *wire.RelayAnswer:
		p.cell.relays.answered(m)
	}
}

// offered lets this entry take a pool whose holder can't go on.
func (p *peers) offered(from endive.EntryID, incarnation endive.Incarnation, name endive.PoolName) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.send(toElect, elect.HolderSuspected{Holder: from, Incarnation: incarnation})
	}
}

// tellTaken tells the others that this entry holds a pool now. The last holder may
// not be able to read it in the store.
func (p *peers) tellTaken(name endive.PoolName, epoch endive.Epoch) {
	for _, id := range p.ids() {
		p.mesh.Send(id, &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKEN, Pool: string(name), Epoch: uint64(epoch)})
	}
}

// taken takes in that another entry holds a pool.
func (p *peers) taken(by endive.EntryID, name endive.PoolName, epoch endive.Epoch) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.heldBy(by)
		pool.send(toElect, elect.Superseded{Epoch: epoch})
	}
}

// ids returns the entries that there are sessions with, those of this region first.
func (p *peers) ids() []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]endive.EntryID, 0, len(p.linked))
	for id := range p.linked {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		near, far := p.rows[ids[i]].Region == p.cell.Settings.Region, p.rows[ids[j]].Region == p.cell.Settings.Region
		if near != far {
			return near
		}
		return p.cell.order(ids[i]) > p.cell.order(ids[j])
	})
	return ids
}
