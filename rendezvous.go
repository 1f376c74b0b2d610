package endive

import "hash/fnv"

// Rendezvous returns the rank of an entry for a key, by rendezvous hashing: each key
// is assigned to the entry with the highest rank. When an entry is added or removed,
// only the keys assigned to that entry move.
func Rendezvous(entry EntryID, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entry))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return mixBits(h.Sum64())
}

// mixBits spreads the bits of a hash, because FNV gives similar high bits for short
// inputs. mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
