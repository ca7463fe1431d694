package routing

// node is an element of a heap that knows its place in it.
type node[T any] interface {
	// before reports whether the element comes out earlier than the other.
	before(T) bool
	// place holds the element's index plus one; 0 is outside.
	place() *int
}

// heap is a binary heap whose elements can be removed and moved.
type heap[T node[T]] struct{ list []T }

func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	*x.place() = len(h.list)
	h.up(len(h.list) - 1)
}

func (h *heap[T]) remove(x T) {
	i := *x.place() - 1
	if i < 0 {
		return
	}
	last := len(h.list) - 1
	h.swap(i, last)
	var none T
	h.list[last] = none
	h.list = h.list[:last]
	*x.place() = 0
	if i < last {
		h.fix(i)
	}
}

// move puts x in order again after its rank changed.
func (h *heap[T]) move(x T) { h.fix(*x.place() - 1) }

func (h *heap[T]) fix(i int) {
	x := h.list[i]
	h.up(i)
	if *x.place()-1 == i {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.list[i].before(h.list[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.list); child++ {
			if h.list[child].before(h.list[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	*h.list[i].place() = i + 1
	*h.list[j].place() = j + 1
}

func (h *heap[T]) len() int { return len(h.list) }
