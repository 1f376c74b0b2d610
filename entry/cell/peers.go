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
	// entriesPrefix is where entries register themselves, each in a row of its
	// name.
	entriesPrefix = "entries//"
	// registrationPeriod lies between two writes of an entry's row.
	registrationPeriod = 3 * time.Second
	// entryTimeout is how old the row of a living entry gets at most.
	entryTimeout = 10 * time.Second
	// entryRetention is when the row of an entry that is gone is deleted.
	entryRetention = 60 * time.Second
	// entriesPollPeriod lies between two looks at the rows of the others.
	entriesPollPeriod = time.Second
	// fullMeshSize is up to how many entries are all linked with each other. Beyond it
	// each links to so many, and to those that ask it something.
	fullMeshSize = 16
)

// peers knows the other entries and holds the sessions with them.
type peers struct {
	cell *Cell
	mesh *peer.Mesh

	mu   sync.Mutex
	rows map[endive.EntryID]entryRow
	// discovered says that the rows of all entries have probably been read.
	discovered bool
	// discoveryBegan is when rows of others were read first.
	discoveryBegan time.Time
	// requesters are entries that asked something lately.
	requesters map[endive.EntryID]time.Time
	// lastReceived is when something came from each entry last.
	lastReceived map[endive.EntryID]time.Time
	// startTime is when this process first had the platform's time.
	startTime endive.PlatformTime
	linked    map[endive.EntryID]bool
}

func newPeers(c *Cell) *peers {
	p := &peers{
		cell: c, rows: make(map[endive.EntryID]entryRow), requesters: make(map[endive.EntryID]time.Time),
		linked: make(map[endive.EntryID]bool), lastReceived: make(map[endive.EntryID]time.Time),
	}
	p.mesh = peer.New(p.ownPeer(), p, c.Counters, c.Log)
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
		after = p.readEntries(after)
		if now := p.cell.Clock.Now(); after > 0 && !now.Before(registerAt) && p.register() {
			registerAt = now.Add(registrationPeriod)
		}
		p.updateLinks()
		p.cell.sleep(entriesPollPeriod * time.Duration(p.pollSlowdown()))
	}
}

// updateLinks opens sessions to the entries that this one works with.
func (p *peers) updateLinks() {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var others endive.Peers
	for id, row := range p.rows {
		if id != p.cell.Settings.Name && row.isLive(p.cell.Platform.AtLeast(now)) {
			others = append(others, row.peer(id))
		}
	}
	p.cell.adviceRouter.reserved.assign(append(others, p.ownPeer()))
	others = p.selectLinks(others, now)
	clear(p.linked)
	for _, one := range others {
		p.linked[one.ID] = true
	}
	p.mesh.SetPeers(others)
	p.cell.adviceRouter.setPeers(others)
}

// ownPeer returns this entry as a peer of the others.
func (p *peers) ownPeer() endive.Peer { return p.ownRow().peer(p.cell.Settings.Name) }

// selectLinks leaves of many entries a part that spreads the links, those that hold a
// pool or may soon, and all that asked something lately.
func (p *peers) selectLinks(others endive.Peers, now time.Time) endive.Peers {
	sort.Slice(others, func(i, j int) bool { return p.cell.tieBreak(others[i].ID) > p.cell.tieBreak(others[j].ID) })
	if len(others) <= fullMeshSize {
		return others
	}
	selected := others[:fullMeshSize:fullMeshSize]
	required := p.cell.holders()
	for _, id := range p.candidates("")[:candidateLinks] {
		required[id] = true
	}
	for _, one := range others[fullMeshSize:] {
		if asked, ok := p.requesters[one.ID]; ok && now.Sub(asked) < entryTimeout || required[one.ID] {
			selected = append(selected, one)
		}
	}
	return selected
}

// recordRequest notes that an entry asked something, and links to it for the answer.
func (p *peers) recordRequest(from endive.EntryID) {
	p.mu.Lock()
	linked := p.linked[from]
	p.requesters[from] = p.cell.Clock.Now()
	p.mu.Unlock()
	if !linked {
		p.updateLinks()
	}
}

// ConnectionRefused implements peer.Watcher: the process of an entry has ended, so the pools
// that it held are free.
func (p *peers) ConnectionRefused(one endive.Peer) {
	for _, pool := range p.cell.allPools() {
		pool.send(electMachine, elect.HolderSuspected{Holder: one.ID, Incarnation: one.Incarnation})
	}
}

// recordReceived notes that something came from an entry.
func (p *peers) recordReceived(from endive.EntryID) {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[from] = now
}

// receivedSince reports whether something has come from an entry since a time.
func (p *peers) receivedSince(id endive.EntryID, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReceived[id].After(since)
}

// Deliver implements peer.Inbox.
func (p *peers) Deliver(from endive.EntryID, incarnation endive.Incarnation, message proto.Message) {
	p.recordReceived(from)
	switch m := message.(type) {
	case *wire.AdviceAsk:
		p.recordRequest(from)
		p.cell.adviceQueue.enqueueRemote(from, m)
	case *wire.AdviceAnswer:
		p.cell.adviceRouter.handleAnswer(from, m)
	case *wire.AdviceNote:
		p.cell.handleAdviceNote(m)
	case *wire.PoolHandOver:
		p.cell.receiveHandOver(m)
	case *wire.RelayAsk:
		switch m.GetKind() {
		case wire.RelayKind_RELAY_TAKE:
			p.handleOffer(from, incarnation, endive.PoolName(m.GetPool()))
			return
		case wire.RelayKind_RELAY_TAKEN:
			p.handleHolderChanged(from, endive.PoolName(m.GetPool()), endive.Epoch(m.GetEpoch()))
			return
		case wire.RelayKind_RELAY_STORED:
			p.cell.handleStored(endive.PoolName(m.GetPool()), endive.JobID(m.GetJob()), m.GetSubmission())
			return
		}
		p.recordRequest(from)
		go (&relayedRequest{cell: p.cell, from: from, ask: m}).run()
	case *wire.RelayAnswer:
		p.cell.relayClient.handleAnswer(m)
	}
}

// handleOffer lets this entry take a pool whose holder can't go on.
func (p *peers) handleOffer(from endive.EntryID, incarnation endive.Incarnation, name endive.PoolName) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.send(electMachine, elect.HolderSuspected{Holder: from, Incarnation: incarnation})
	}
}

// announceHolding tells the others that this entry holds a pool now. The last holder may
// not be able to read it in the store.
func (p *peers) announceHolding(name endive.PoolName, epoch endive.Epoch) {
	for _, id := range p.linkedEntries() {
		p.mesh.Send(id, &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKEN, Pool: string(name), Epoch: uint64(epoch)})
	}
}

// handleHolderChanged takes in that another entry holds a pool.
func (p *peers) handleHolderChanged(holder endive.EntryID, name endive.PoolName, epoch endive.Epoch) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.setHolder(holder)
		pool.send(electMachine, elect.Superseded{Epoch: epoch})
	}
}

// linkedEntries returns the entries that there are sessions with, those of this region first.
func (p *peers) linkedEntries() []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]endive.EntryID, 0, len(p.linked))
	for id := range p.linked {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		iLocal, jLocal := p.rows[ids[i]].Region == p.cell.Settings.Region, p.rows[ids[j]].Region == p.cell.Settings.Region
		if iLocal != jLocal {
			return iLocal
		}
		return p.cell.tieBreak(ids[i]) > p.cell.tieBreak(ids[j])
	})
	return ids
}
