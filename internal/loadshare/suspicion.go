package loadshare

import (
	"encoding/binary"
	"time"

	"filbertstall.example/filbertstall/internal/suspicion"
)

// suspicionVersion is the first number of a datagram with suspected features.
// Instances that don't know it drop the datagram.
const suspicionVersion = 3

// Suspects are the features of requests under which endpoints crashed.
// suspicion.Registry implements it.
type Suspects interface {
	// Changed returns the cases to send to all other instances now. due is set for a regular
	// message.
	Changed(due bool) []suspicion.Case
	// Merge records cases that another instance found.
	Merge(list []suspicion.Case)
}

// encodeSuspects returns the datagram of cases. Ages are in microseconds.
func encodeSuspects(instance string, list []suspicion.Case) []byte {
	data := binary.AppendUvarint(nil, suspicionVersion)
	data = appendString(data, instance)
	data = binary.AppendUvarint(data, uint64(len(list)))
	for _, ca := range list {
		data = binary.BigEndian.AppendUint64(data, ca.Fingerprint)
		data = append(data, byte(ca.Kind))
		data = appendFlag(data, ca.Proven)
		data = binary.AppendUvarint(data, uint64(len(ca.Losses)))
		for _, al := range ca.Losses {
			data = appendString(data, al.Endpoint)
			data = appendString(data, al.Boot)
			data = binary.AppendUvarint(data, uint64(max(al.Age, 0)/time.Microsecond))
		}
		data = binary.AppendUvarint(data, uint64(len(ca.Cleared)))
		for _, lo := range ca.Cleared {
			data = appendString(data, lo.Endpoint)
			data = appendString(data, lo.Boot)
		}
	}
	return data
}

// isSuspects reports whether a datagram has suspected features.
func isSuspects(data []byte) bool { return len(data) > 0 && data[0] == suspicionVersion }

// decodeSuspects parses a datagram with suspected features, or returns ErrMalformed.
func decodeSuspects(data []byte) (instance string, list []suspicion.Case, err error) {
	re := reader{data: data}
	if re.uvarint() != suspicionVersion {
		return "", nil, ErrMalformed
	}
	instance = re.stringValue()
	for range re.listLength() {
		ca := suspicion.Case{Fingerprint: re.fixed64(), Kind: suspicion.FeatureKind(re.octet()), Proven: re.octet() != 0}
		for range re.listLength() {
			al := suspicion.AgedLoss{Endpoint: re.stringValue(), Boot: re.stringValue()}
			al.Age = time.Duration(re.count()) * time.Microsecond
			ca.Losses = append(ca.Losses, al)
		}
		for range re.listLength() {
			ca.Cleared = append(ca.Cleared, suspicion.Loss{Endpoint: re.stringValue(), Boot: re.stringValue()})
		}
		re.malformed = re.malformed || ca.Kind > suspicion.KindPart
		if re.malformed {
			break
		}
		list = append(list, ca)
	}
	if re.malformed || len(re.data) > 0 || instance == "" {
		return "", nil, ErrMalformed
	}
	return instance, list, nil
}

// fixed64 reads a number of eight bytes.
func (re *reader) fixed64() uint64 {
	const size = 8
	if len(re.data) < size {
		re.malformed, re.data = true, nil
		return 0
	}
	number := binary.BigEndian.Uint64(re.data)
	re.data = re.data[size:]
	return number
}

// octet reads one byte.
func (re *reader) octet() byte {
	if len(re.data) == 0 {
		re.malformed = true
		return 0
	}
	octet := re.data[0]
	re.data = re.data[1:]
	return octet
}

// sendSuspects sends the features under which endpoints crashed to all other
// instances, if there is something new or if it is due to be repeated.
func (ex *Exchange) sendSuspects(due bool) {
	if ex.Suspects == nil {
		return
	}
	if list := ex.Suspects.Changed(due); len(list) > 0 {
		ex.sendToAll(encodeSuspects(ex.Instance, list))
	}
}

// applySuspects records the suspected features in a datagram of another instance.
func (ex *Exchange) applySuspects(data []byte) {
	instance, list, err := decodeSuspects(data)
	if err != nil {
		ex.Log.Info().Str("event", "suspects_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Suspects != nil && instance != ex.Instance {
		ex.Suspects.Merge(list)
	}
}
