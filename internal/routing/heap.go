package routing

// heapItem is an element of a heap that stores its own position.
type heapItem[T any] interface {
	// less reports whether the element is popped before the other.
	less(T) bool
	// heapIndex points to the element's index plus one; 0 means that it is not
	// in a heap.
	heapIndex() *int
}

// heap is a binary heap that can remove and reorder arbitrary elements.
type heap[T heapItem[T]] struct{ items []T }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*x.heapIndex() = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i := *x.heapIndex() - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*x.heapIndex() = 0
	if i < last {
		h.fix(i)
	}
}

// update restores the heap order after the rank of x changed.
func (h *heap[T]) update(x T) { h.fix(*x.heapIndex() - 1) }

func (h *heap[T]) fix(i int) {
	x := h.items[i]
	h.up(i)
	if *x.heapIndex()-1 == i {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.items[child].less(h.items[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i + 1
	*h.items[j].heapIndex() = j + 1
}

func (h *heap[T]) len() int { return len(h.items) }
