package loadshare

// Grants are places at engines that an allocator gave out. It counts them as load until
// the loads of the instance that got them do.
type Grants interface {
	// Settled returns the grants that the loads of this instance include from now on.
	Settled() []uint64
	// Settle records that the loads of another instance include these grants.
	Settle(ids []uint64)
}

// settledOf returns the grants that loads which are read after the call include.
func settledOf(gr Grants) []uint64 {
	if gr == nil {
		return nil
	}
	return gr.Settled()
}

// settle passes on the grants that the loads of another instance include.
func (ex *Exchange) settle(ids []uint64) {
	if ex.Grants != nil && len(ids) > 0 {
		ex.Grants.Settle(ids)
	}
}
