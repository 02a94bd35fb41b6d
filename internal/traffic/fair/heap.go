package fair

// First returns the ready account with the least work per weight, ties by
// customer, or nil.
func (s *Shares[V]) First() *Account[V] {
	if len(s.ready) == 0 {
		return nil
	}
	return s.ready[0]
}

// SetReady sets whether an account has work that may start.
func (s *Shares[V]) SetReady(a *Account[V], ready bool) {
	switch {
	case ready && a.position < 0:
		a.position = len(s.ready)
		s.ready = append(s.ready, a)
		s.up(a.position)
	case !ready && a.position >= 0:
		s.remove(a)
	}
}

func (s *Shares[V]) remove(a *Account[V]) {
	i, last := a.position, len(s.ready)-1
	if i != last {
		s.swap(i, last)
	}
	s.ready[last] = nil
	s.ready = s.ready[:last]
	a.position = -1
	if i != last {
		s.fix(i)
	}
}

func (s *Shares[V]) less(i, j int) bool {
	if s.ready[i].service != s.ready[j].service {
		return s.ready[i].service < s.ready[j].service
	}
	return s.ready[i].customer < s.ready[j].customer
}

func (s *Shares[V]) swap(i, j int) {
	s.ready[i], s.ready[j] = s.ready[j], s.ready[i]
	s.ready[i].position, s.ready[j].position = i, j
}

func (s *Shares[V]) fix(i int) {
	s.down(i)
	s.up(i)
}

func (s *Shares[V]) up(i int) {
	for i > 0 && s.less(i, (i-1)/2) {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *Shares[V]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(s.ready); c++ {
			if s.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}
