package setup

import (
	"fmt"

	"endiveroute.example/endive"
)

// MaxPeers is the maximum number of other entries.
const MaxPeers = 63

// Peer is another entry.
type Peer struct {
	Name endive.EntryID `toml:"name" json:"name"`
	// Address is the peer's listen.peers address.
	Address endive.Address `toml:"address" json:"address"`
	Region  endive.Region  `toml:"region" json:"region"`
	Zone    endive.Zone    `toml:"zone" json:"zone"`
}

// Peers is a list of the other entries.
type Peers []Peer

// validate adds a finding for each peer that is invalid, or that has the name
// or address of another peer or of this entry.
func (p Peers) validate(f *endive.Findings, s Settings) {
	if len(p) > MaxPeers {
		f.Add("peers", "lists %d entries; at most %d are allowed", len(p), MaxPeers)
	}
	pathByName := map[endive.EntryID]string{s.Name: "name"}
	pathByAddress := map[endive.Address]string{s.Listen.Peers: "listen.peers"}
	for i, peer := range p {
		path := fmt.Sprintf("peers[%d]", i)
		endive.ValidateName(f, path+".name", string(peer.Name))
		endive.ValidateName(f, path+".region", string(peer.Region))
		endive.ValidateName(f, path+".zone", string(peer.Zone))
		validateDialAddress(f, path+".address", peer.Address)
		if first, ok := pathByName[peer.Name]; ok && peer.Name != "" {
			f.Add(path+".name", "%s is already given at %s", peer.Name, first)
		}
		if first, ok := pathByAddress[peer.Address]; ok && peer.Address != "" {
			f.Add(path+".address", "%s is already given at %s", peer.Address, first)
		}
		pathByName[peer.Name] = path + ".name"
		pathByAddress[peer.Address] = path + ".address"
	}
}
