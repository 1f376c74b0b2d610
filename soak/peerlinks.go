package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// entriesTable is the table in which entries register the addresses at which others reach them.
const entriesTable = "entries"

// peerLinks has a proxy before each entry, at the address that the others find in its registration. An entry can be cut
// off from the others by it while it reaches the store and the workers.
type peerLinks struct {
	mu      sync.Mutex
	proxies map[string]*proxy
}

// newPeerLinks returns the links of entries that register themselves in a store.
func newPeerLinks(store *stand.Store) *peerLinks {
	l := &peerLinks{proxies: make(map[string]*proxy)}
	store.Rewrite(entriesTable, l.redirect)
	return l
}

// redirect returns the registration of an entry with the address of its proxy.
func (l *peerLinks) redirect(entry string, value []byte) []byte {
	var fields map[string]json.RawMessage
	var address string
	if json.Unmarshal(value, &fields) != nil || json.Unmarshal(fields["address"], &address) != nil {
		return value
	}
	p, err := l.proxyOf(entry, address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: can't start a proxy:", err)
		return value
	}
	fields["address"] = json.RawMessage(fmt.Sprintf("%q", p.address()))
	redirected, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return redirected
}

// proxyOf returns the proxy before an entry's address, which never changes.
func (l *peerLinks) proxyOf(entry, address string) (*proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.proxies[entry]; p != nil {
		return p, nil
	}
	p, err := newProxy(address)
	if err == nil {
		l.proxies[entry] = p
	}
	return p, err
}

// all returns the proxies of all entries that have registered, by their names.
func (l *peerLinks) all() map[string]*proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.proxies)
}

// cutPeers cuts an entry off from the others, which take its pools over while it lives. The store is slow for the others
// meanwhile, so that they learn late of what the entry goes on to accept and start.
func (s *soak) cutPeers(e *entry, end *faultEnd) {
	link := s.peerLinks.all()[e.name]
	if link == nil {
		return
	}
	link.beginCut(modeRefuse)
	end.revert = link.endCut
	for _, other := range s.entries {
		if other != e {
			other.storeProxy.beginCut(modeDelay)
			time.AfterFunc(slowStoreTime, other.storeProxy.endCut)
		}
	}
}

// slowStoreTime is how long the store is slow for the other entries.
const slowStoreTime = 1500 * time.Millisecond
