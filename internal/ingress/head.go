package ingress

import "bytes"

// headScan finds the end of a request head: an empty line after a line that is not empty.
type headScan struct {
	// begun is set after a line that is not empty, partial while the current line is not
	// empty.
	begun, partial bool
}

// next returns how many bytes of p belong to the head, and whether it ends there.
func (s *headScan) next(p []byte) (n int, ended bool) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.partial = s.partial || len(bytes.Trim(p[n:], "\r")) > 0
			return len(p), false
		}
		empty := !s.partial && len(bytes.Trim(p[n:n+end], "\r")) == 0
		n += end + 1
		s.partial = false
		if empty && s.begun {
			return n, true
		}
		s.begun = s.begun || !empty
	}
	return n, false
}
