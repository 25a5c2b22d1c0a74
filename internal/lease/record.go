package lease

import (
	"encoding/json"
	"errors"
)

// Record is the stored form of a lease.
type Record struct {
	// Holder is the name of the lease holder, empty after a release.
	Holder string `json:"holder"`
	// Address is the peer address of the holder.
	Address string `json:"address"`
	// Epoch increases with each change of the holder. It is the fencing token.
	Epoch int64 `json:"epoch"`
	// Sequence increases with each write within an epoch. A write that fails may
	// leave a gap.
	Sequence int64 `json:"sequence"`
}

// Released reports whether the last holder released the lease.
func (re Record) Released() bool { return re.Holder == "" }

// WithRelease returns a copy that releases the lease, with the next sequence
// number.
func (re Record) WithRelease() Record {
	re.Holder, re.Address = "", ""
	re.Sequence++
	return re
}

// UnmarshalJSON implements json.Unmarshaler. It rejects an epoch or a sequence
// below 1.
func (re *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var pl plain
	if err := json.Unmarshal(data, &pl); err != nil {
		return err
	}
	if pl.Epoch < 1 || pl.Sequence < 1 {
		return errors.New("epoch and sequence must be at least 1")
	}
	*re = Record(pl)
	return nil
}
