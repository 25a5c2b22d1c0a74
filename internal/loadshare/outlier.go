package loadshare

import (
	"encoding/binary"
	"time"

	"filbertstall.example/filbertstall/internal/outlier"
)

// outlierVersion is the first number of a datagram with failures at endpoints. Instances
// that don't know it drop the datagram.
const outlierVersion = 7

// Outliers are the failures at endpoints by which they are judged. outlier.Detector
// implements it.
type Outliers interface {
	// Changed returns what to send to all other instances now. due is set for a regular
	// message.
	Changed(due bool) []outlier.Report
	// Merge records what another instance has seen.
	Merge(instance, zone string, list []outlier.Report)
}

// encodeOutliers returns the datagram of failures at endpoints. Ages are in microseconds.
func encodeOutliers(instance, zone string, list []outlier.Report) []byte {
	data := binary.AppendUvarint(nil, outlierVersion)
	data = appendString(data, instance)
	data = appendString(data, zone)
	data = binary.AppendUvarint(data, uint64(len(list)))
	for _, re := range list {
		data = appendString(data, re.Endpoint)
		data = binary.AppendVarint(data, re.Started)
		data = appendAges(data, re.Failures)
		data = appendAges(data, re.Successes)
	}
	return data
}

// appendAges appends a list of ages.
func appendAges(data []byte, ages []time.Duration) []byte {
	data = binary.AppendUvarint(data, uint64(len(ages)))
	for _, age := range ages {
		data = binary.AppendUvarint(data, uint64(max(age, 0)/time.Microsecond))
	}
	return data
}

// isOutliers reports whether a datagram has failures at endpoints.
func isOutliers(data []byte) bool { return len(data) > 0 && data[0] == outlierVersion }

// decodeOutliers parses a datagram with failures at endpoints, or returns ErrMalformed.
func decodeOutliers(data []byte) (instance, zone string, list []outlier.Report, err error) {
	re := reader{data: data}
	if re.uvarint() != outlierVersion {
		return "", "", nil, ErrMalformed
	}
	instance, zone = re.stringValue(), re.stringValue()
	for range re.listLength() {
		if re.malformed {
			break
		}
		list = append(list, outlier.Report{Endpoint: re.stringValue(), Started: re.varint(), Failures: re.ages(), Successes: re.ages()})
	}
	if re.malformed || len(re.data) > 0 || instance == "" {
		return "", "", nil, ErrMalformed
	}
	return instance, zone, list, nil
}

// ages reads a list of ages.
func (re *reader) ages() []time.Duration {
	var list []time.Duration
	for range re.listLength() {
		if re.malformed {
			break
		}
		list = append(list, time.Duration(re.count())*time.Microsecond)
	}
	return list
}

// sendOutliers sends all other instances the failures at endpoints, if there is something
// new or if it is due to be repeated.
func (ex *Exchange) sendOutliers(due bool) {
	if ex.Outliers == nil {
		return
	}
	if list := ex.Outliers.Changed(due); len(list) > 0 {
		ex.sendToAll(encodeOutliers(ex.Instance, ex.Zone, list))
	}
}

// applyOutliers records the failures at endpoints that another instance saw.
func (ex *Exchange) applyOutliers(data []byte) {
	instance, zone, list, err := decodeOutliers(data)
	if err != nil {
		ex.Log.Info().Str("event", "outliers_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Outliers != nil && instance != ex.Instance {
		ex.Outliers.Merge(instance, zone, list)
	}
}
