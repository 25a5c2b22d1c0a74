package loadshare

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/backpressure"
)

// statementsVersion is the first number of a datagram with statements of endpoints.
// Instances that don't know it drop the datagram.
const statementsVersion = 2

// brittleStatementsVersion is the first number of a datagram in which each statement also
// states whether its endpoint is brittle. It is used only if one is.
const brittleStatementsVersion = 5

// encodeStatements returns the datagram of statements that endpoints made to an
// instance. Ages are in microseconds, rates are the bits of the number.
func encodeStatements(instance string, list []backpressure.Statement) []byte {
	version := uint64(statementsVersion)
	if slices.ContainsFunc(list, func(sm backpressure.Statement) bool { return sm.Brittle }) {
		version = brittleStatementsVersion
	}
	data := binary.AppendUvarint(nil, version)
	data = appendString(data, instance)
	data = binary.AppendUvarint(data, uint64(len(list)))
	for _, sm := range list {
		data = appendString(data, sm.Endpoint)
		data = binary.AppendVarint(data, sm.Started)
		data = appendFlag(data, sm.Limit.Named)
		data = binary.AppendUvarint(data, math.Float64bits(sm.Limit.Rate))
		data = appendFlag(data, sm.Leaving)
		data = binary.AppendUvarint(data, uint64(max(sm.Age, 0)/time.Microsecond))
		if version == brittleStatementsVersion {
			data = appendFlag(data, sm.Brittle)
		}
	}
	return data
}

func appendFlag(data []byte, flag bool) []byte {
	if flag {
		return append(data, 1)
	}
	return append(data, 0)
}

// isStatements reports whether a datagram has statements.
func isStatements(data []byte) bool {
	return len(data) > 0 && (data[0] == statementsVersion || data[0] == brittleStatementsVersion)
}

// decodeStatements parses a datagram with statements, or returns ErrMalformed.
func decodeStatements(data []byte) (instance string, list []backpressure.Statement, err error) {
	re := reader{data: data}
	version := re.uvarint()
	if version != statementsVersion && version != brittleStatementsVersion {
		return "", nil, ErrMalformed
	}
	instance = re.stringValue()
	for range re.listLength() {
		sm := backpressure.Statement{Endpoint: re.stringValue(), Started: re.varint()}
		named, rate := re.uvarint() != 0, math.Float64frombits(re.uvarint())
		sm.Leaving = re.uvarint() != 0
		sm.Age = time.Duration(re.count()) * time.Microsecond
		sm.Brittle = version == brittleStatementsVersion && re.uvarint() != 0
		if named {
			limit, meant := backpressure.NewLimit(rate)
			re.malformed = re.malformed || !meant
			sm.Limit = limit
		}
		list = append(list, sm)
	}
	if re.malformed || len(re.data) > 0 || instance == "" {
		return "", nil, ErrMalformed
	}
	return instance, list, nil
}

// varint reads a signed number.
func (re *reader) varint() int64 {
	number, size := binary.Varint(re.data)
	if size <= 0 {
		re.malformed, re.data = true, nil
		return 0
	}
	re.data = re.data[size:]
	return number
}

// applyStatements records the statements in a datagram of another instance.
func (ex *Exchange) applyStatements(data []byte) {
	instance, list, err := decodeStatements(data)
	if err != nil {
		ex.Log.Info().Str("event", "statements_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Statements != nil && instance != ex.Instance {
		ex.Statements.Merge(list)
	}
}
