package runtimes

import "container/list"

// lru is a map of bounded size that drops the least recently used entry.
type lru[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	// order holds the entries, the most recently used first.
	order *list.List
	// dropped is called for each entry that is dropped to make room. It may be nil.
	dropped func(K, V)
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int, dropped func(K, V)) *lru[K, V] {
	return &lru[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New(), dropped: dropped}
}

func (l *lru[K, V]) len() int { return len(l.entries) }

// get returns the value of a key without marking it as used.
func (l *lru[K, V]) get(key K) (V, bool) {
	e, ok := l.entries[key]
	if !ok {
		var none V
		return none, false
	}
	return e.Value.(*lruEntry[K, V]).value, true
}

// use marks the entry of a key as the most recently used one and returns its value.
func (l *lru[K, V]) use(key K) (V, bool) {
	if e, ok := l.entries[key]; ok {
		l.order.MoveToFront(e)
	}
	return l.get(key)
}

// add adds an entry for a key that has none, and drops the least recently used entry if
// there are too many.
func (l *lru[K, V]) add(key K, value V) {
	if len(l.entries) >= l.limit {
		oldest := l.order.Back().Value.(*lruEntry[K, V])
		l.remove(oldest.key)
		if l.dropped != nil {
			l.dropped(oldest.key, oldest.value)
		}
	}
	l.entries[key] = l.order.PushFront(&lruEntry[K, V]{key, value})
}

func (l *lru[K, V]) remove(key K) {
	if e, ok := l.entries[key]; ok {
		l.order.Remove(e)
		delete(l.entries, key)
	}
}

// each calls f for the entries, the most recently used first, until it returns false.
func (l *lru[K, V]) each(f func(K, V) bool) {
	for e := l.order.Front(); e != nil; e = e.Next() {
		x := e.Value.(*lruEntry[K, V])
		if !f(x.key, x.value) {
			return
		}
	}
}
