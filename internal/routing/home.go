package routing

import (
	"hash/fnv"
	"slices"
	"strings"
)

// weight ranks a name for a key by rendezvous hashing: the name with the
// highest weight is the key's, and a change of the names moves only the keys of
// the names that changed.
func weight(name, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// homeDomain returns the domain of a key: the one that it is qualified with, as
// in DOMAIN.OPAQUE, or else one by hash over all domains.
func homeDomain(peers []Peer, key string) string {
	prefix, _, qualified := strings.Cut(key, ".")
	best, top := "", uint64(0)
	for _, p := range peers {
		if qualified && p.Domain == prefix {
			return prefix
		}
		if w := weight(p.Domain, key); best == "" || w > top || w == top && p.Domain < best {
			best, top = p.Domain, w
		}
	}
	return best
}

// homes returns the entries of a key's home domain, the home first and then
// those that may keep its intent, in order of preference.
func homes(peers []Peer, key string) []Peer {
	domain := homeDomain(peers, key)
	var list []Peer
	for _, p := range peers {
		if p.Domain == domain {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if wa, wb := weight(a.Host, key), weight(b.Host, key); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	return list
}
