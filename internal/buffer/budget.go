package buffer

import "sync/atomic"

// Budget limits the memory of all Shares that refer to it. Set Bytes before use. It is
// safe for concurrent use.
type Budget struct {
	// Bytes is the limit, in bytes.
	Bytes int64

	used atomic.Int64
}

// Used returns the number of bytes that are taken.
func (bu *Budget) Used() int64 { return bu.used.Load() }

// take takes more bytes for a share that holds some, unless the share would then have
// more than what is left.
func (bu *Budget) take(held, more int64) bool {
	for {
		used := bu.used.Load()
		if held+more > bu.Bytes-used-more {
			return false
		}
		if bu.used.CompareAndSwap(used, used+more) {
			return true
		}
	}
}

// takeAlone takes more bytes for a share that holds all that is taken, if they are free.
func (bu *Budget) takeAlone(held, more int64) bool {
	return held+more <= bu.Bytes && bu.used.CompareAndSwap(held, held+more)
}

// Share is the part of a budget that belongs to one body. The zero value has no budget
// and no bound. Only one goroutine may use it.
type Share struct {
	Budget *Budget

	held int64
}

// Resize changes the size of the share, in bytes. It returns false, and changes nothing,
// if the budget doesn't allow it. A smaller size is always allowed.
func (sh *Share) Resize(size int64) bool {
	switch more := size - sh.held; {
	case sh.Budget == nil:
	case more <= 0:
		sh.Budget.used.Add(more)
	case !sh.Budget.take(sh.held, more):
		return false
	}
	sh.held = size
	return true
}

// grow makes the share larger for a short time. In contrast to Resize, a share that is the
// only one may take all that is free.
func (sh *Share) grow(more int64) bool {
	if sh.Budget != nil && sh.Budget.takeAlone(sh.held, more) {
		sh.held += more
		return true
	}
	return sh.Resize(sh.held + more)
}
