package admission

import "math"

// index is a heap of the accounts at one distance, with the highest score at
// the root.
type index struct {
	list []*account
}

func (in *index) insert(ac *account) {
	ac.index, ac.position = in, len(in.list)
	in.list = append(in.list, ac)
	in.up(ac.position)
}

func (in *index) remove(ac *account) {
	last := len(in.list) - 1
	position := ac.position
	in.swap(position, last)
	in.list[last] = nil
	in.list = in.list[:last]
	ac.index = nil
	if position < last {
		in.fix(in.list[position])
	}
}

// fix restores the heap order after the score of ac has changed.
func (in *index) fix(ac *account) {
	if !in.up(ac.position) {
		in.down(ac.position)
	}
}

func (in *index) up(at int) bool {
	moved := false
	for at > 0 {
		parent := (at - 1) / 2
		if in.list[parent].score >= in.list[at].score {
			break
		}
		in.swap(parent, at)
		at, moved = parent, true
	}
	return moved
}

func (in *index) down(at int) {
	for {
		child := 2*at + 1
		if child >= len(in.list) {
			return
		}
		if child+1 < len(in.list) && in.list[child+1].score > in.list[child].score {
			child++
		}
		if in.list[at].score >= in.list[child].score {
			return
		}
		in.swap(at, child)
		at = child
	}
}

func (in *index) swap(ix, iy int) {
	in.list[ix], in.list[iy] = in.list[iy], in.list[ix]
	in.list[ix].position, in.list[iy].position = ix, iy
}

// maxInspected is the maximum number of accounts that one choice inspects.
const maxInspected = 15

// each calls visit for the first maxInspected accounts in heap order, skipping
// those that accept no new request, until visit returns false.
func (in *index) each(visit func(ac *account) bool) {
	for _, ac := range in.list[:min(maxInspected, len(in.list))] {
		if !math.IsInf(ac.score, -1) && !visit(ac) {
			return
		}
	}
}
