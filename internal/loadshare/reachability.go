package loadshare

import "encoding/binary"

// pathsVersion is the first number of a datagram with the services whose endpoints an
// instance cannot reach. Instances that don't know it drop the datagram.
const pathsVersion = 4

// Paths are the links of instances to endpoints. reachability.Tracker implements it.
type Paths interface {
	// Changed returns the services whose links are lost, and whether that has changed
	// since the last call.
	Changed() (list []string, unsent bool)
	// Merge records the services for which another instance has lost its links.
	Merge(instance string, list []string)
}

// encodePaths returns the datagram of the services whose links an instance has lost.
func encodePaths(instance string, list []string) []byte {
	data := binary.AppendUvarint(nil, pathsVersion)
	data = appendString(data, instance)
	data = binary.AppendUvarint(data, uint64(len(list)))
	for _, name := range list {
		data = appendString(data, name)
	}
	return data
}

// isPaths reports whether a datagram has services whose links are lost.
func isPaths(data []byte) bool { return len(data) > 0 && data[0] == pathsVersion }

// decodePaths parses a datagram with services whose links are lost, or returns
// ErrMalformed.
func decodePaths(data []byte) (instance string, list []string, err error) {
	re := reader{data: data}
	if re.uvarint() != pathsVersion {
		return "", nil, ErrMalformed
	}
	instance = re.stringValue()
	for range re.listLength() {
		if re.malformed {
			break
		}
		list = append(list, re.stringValue())
	}
	if re.malformed || len(re.data) > 0 || instance == "" {
		return "", nil, ErrMalformed
	}
	return instance, list, nil
}

// sendPaths sends all other instances the services whose links are lost, if that has
// changed or if it is due to be repeated.
func (ex *Exchange) sendPaths(due bool) {
	if ex.Paths == nil {
		return
	}
	list, unsent := ex.Paths.Changed()
	if unsent || due && len(list) > 0 {
		ex.sendToAll(encodePaths(ex.Instance, list))
	}
}

// applyPaths records the services whose links another instance has lost.
func (ex *Exchange) applyPaths(data []byte) {
	instance, list, err := decodePaths(data)
	if err != nil {
		ex.Log.Info().Str("event", "paths_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Paths != nil && instance != ex.Instance {
		ex.Paths.Merge(instance, list)
	}
}
