package routing

import (
	"hash/fnv"
	"slices"
	"strings"
)

// rendezvousWeight returns the weight of a name for a key in rendezvous
// hashing. A key belongs to the name with the highest weight, so adding or
// removing a name moves only the keys of that name.
func rendezvousWeight(name, key string) uint64 {
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

// homeDomain returns the home domain of a key. A key of the form DOMAIN.OPAQUE
// belongs to that domain if it exists; other keys are hashed over all domains.
func homeDomain(peers []Peer, key string) string {
	prefix, _, qualified := strings.Cut(key, ".")
	best, bestWeight := "", uint64(0)
	for _, p := range peers {
		if qualified && p.Domain == prefix {
			return prefix
		}
		if w := rendezvousWeight(p.Domain, key); best == "" || w > bestWeight || w == bestWeight && p.Domain < best {
			best, bestWeight = p.Domain, w
		}
	}
	return best
}

// homeEntries returns the entries of a key's home domain in order of
// preference: the home entry first, then the candidates for the replica of its
// intent.
func homeEntries(peers []Peer, key string) []Peer {
	domain := homeDomain(peers, key)
	var list []Peer
	for _, p := range peers {
		if p.Domain == domain {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if wa, wb := rendezvousWeight(a.Host, key), rendezvousWeight(b.Host, key); wa != wb {
			if wa > wb {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
	return list
}
