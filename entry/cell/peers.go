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
	// entriesPrefix is the key prefix of the rows by which entries register themselves. The
	// entry's name follows it.
	entriesPrefix = "entries//"
	// registrationPeriod is the interval between two writes of an entry's row.
	registrationPeriod = 3 * time.Second
	// entryTimeout is the age of an entry's row from which the entry isn't considered live.
	entryTimeout = 10 * time.Second
	// entryRetention is the age at which the row of an entry that has ended is deleted.
	entryRetention = 60 * time.Second
	// entriesPollPeriod is the interval between two reads of the other entries' rows.
	entriesPollPeriod = time.Second
	// fullMeshSize is the number of other entries up to which an entry links to all of them.
	// If there are more, it links to this many of them, and to pool holders, candidates and
	// recent requesters.
	fullMeshSize = 16
)

// peers tracks the other entries and maintains the sessions with them.
type peers struct {
	cell *Cell
	mesh *peer.Mesh

	mu   sync.Mutex
	rows map[endive.EntryID]entryRow
	// discovered is true once the rows of all entries have probably been read.
	discovered bool
	// discoveryBegan is when rows of other entries were first read.
	discoveryBegan time.Time
	// requesters are the entries that have sent requests, with the time of the last one.
	requesters map[endive.EntryID]time.Time
	// lastReceived is when the last message of each entry was received.
	lastReceived map[endive.EntryID]time.Time
	// startTime is the platform time when this process first registered itself.
	startTime endive.PlatformTime
	linked    map[endive.EntryID]bool
	// rowsReadAt is the platform time when the rows were last read. rowsPeriod is the period in
	// which they are read.
	rowsReadAt endive.PlatformTime
	rowsPeriod time.Duration
	// readers are the entries of this region that read the configuration from the store.
	readers []endive.EntryID
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

// serve accepts sessions of other entries in the background.
func (p *peers) serve(listener net.Listener) { go (&peerAcceptor{peers: p, listener: listener}).run() }

// peerAcceptor accepts sessions of other entries on a listener.
type peerAcceptor struct {
	peers    *peers
	listener net.Listener
}

func (s *peerAcceptor) run() { s.peers.mesh.Serve(s.listener) }

// run registers this entry periodically and reads the rows of the others.
func (p *peers) run() {
	var after endive.Revision
	var registerAt, readAt time.Time
	for p.cell.ctx.Err() == nil {
		// The rows are read before the first registration, because updateDiscovered checks
		// whether an earlier run of this entry has registered.
		if now := p.cell.Clock.Now(); after == 0 || !now.Before(readAt.Add(p.readPeriod())) {
			reached := p.readEntries(after)
			if reached != after {
				readAt = now
			}
			after = reached
		}
		if now := p.cell.Clock.Now(); after > 0 && !now.Before(registerAt) && p.register() {
			registerAt = now.Add(registrationPeriod)
		}
		p.updateLinks()
		p.cell.sleep(entriesPollPeriod * time.Duration(p.pollSlowdown()))
	}
}

// updateLinks selects the entries to keep sessions with, from the live ones.
func (p *peers) updateLinks() {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var others endive.Peers
	judgedAt := p.judgedAt(now)
	for id, row := range p.rows {
		if id != p.cell.Settings.Name && row.isLive(judgedAt) {
			others = append(others, row.peer(id))
		}
	}
	p.cell.adviceRouter.reserved.assign(append(others, p.ownPeer()))
	p.readers = configReaders(append(others, p.ownPeer()), p.cell.Settings.Region, p.cell.holders())
	others = p.selectLinks(others, now)
	clear(p.linked)
	for _, other := range others {
		p.linked[other.ID] = true
	}
	p.mesh.SetPeers(others)
	p.cell.adviceRouter.setPeers(others)
}

// ownPeer returns this entry as an endive.Peer, with the same data as in its row.
func (p *peers) ownPeer() endive.Peer { return p.ownRow().peer(p.cell.Settings.Name) }

// selectLinks selects the entries to link to if there are many: fullMeshSize of them in an
// order that differs between entries, so that the links are spread; the holders of pools, the
// best candidates and the readers of the configuration; and those that have sent requests recently.
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
	for _, id := range p.readers {
		required[id] = true
	}
	for _, other := range others[fullMeshSize:] {
		if requestedAt, ok := p.requesters[other.ID]; ok && now.Sub(requestedAt) < entryTimeout || required[other.ID] {
			selected = append(selected, other)
		}
	}
	return selected
}

// recordRequest records that an entry has sent a request, and links to it for the answer.
func (p *peers) recordRequest(from endive.EntryID) {
	p.mu.Lock()
	linked := p.linked[from]
	p.requesters[from] = p.cell.Clock.Now()
	p.mu.Unlock()
	if !linked {
		p.updateLinks()
	}
}

// ConnectionRefused implements peer.Watcher. A refused connection means that the entry's
// process has ended, so the pools that it held can be acquired.
func (p *peers) ConnectionRefused(refused endive.Peer) {
	for _, pool := range p.cell.allPools() {
		pool.send(electMachine, elect.HolderSuspected{Holder: refused.ID, Incarnation: refused.Incarnation})
	}
}

// recordReceived records that a message of an entry has been received.
func (p *peers) recordReceived(from endive.EntryID) {
	now := p.cell.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived[from] = now
}

// receivedSince reports whether a message of an entry has been received since a time.
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

// handleOffer handles the offer of a pool by its holder: this entry may acquire it.
func (p *peers) handleOffer(from endive.EntryID, incarnation endive.Incarnation, name endive.PoolName) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.send(electMachine, elect.HolderSuspected{Holder: from, Incarnation: incarnation})
	}
}

// announceHolding notifies the linked entries that this entry holds a pool now. The previous
// holder may not be able to read that in the store.
func (p *peers) announceHolding(name endive.PoolName, epoch endive.Epoch) {
	for _, id := range p.linkedEntries() {
		p.mesh.Send(id, &wire.RelayAsk{Kind: wire.RelayKind_RELAY_TAKEN, Pool: string(name), Epoch: uint64(epoch)})
	}
}

// handleHolderChanged handles the announcement of an entry that it holds a pool.
func (p *peers) handleHolderChanged(holder endive.EntryID, name endive.PoolName, epoch endive.Epoch) {
	if pool := p.cell.poolNamed(name); pool != nil {
		pool.setHolder(holder)
		pool.send(electMachine, elect.Superseded{Epoch: epoch})
	}
}

// linkedByRegion returns the linked entries of this region, and those of others.
func (p *peers) linkedByRegion() (near, far []endive.EntryID) {
	ids := p.linkedEntries()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, id := range ids {
		if p.rows[id].Region != p.cell.Settings.Region {
			return ids[:i], ids[i:]
		}
	}
	return ids, nil
}

// linkedEntries returns the entries that this one keeps sessions with, those of this region
// first.
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
