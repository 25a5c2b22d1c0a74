// Package readahead reads the streams of endpoints as fast as they arrive, even if
// their callers read slowly. An endpoint cuts off a connection that is not read for
// some seconds, and the stream of a slow caller would be lost with it.
//
// A Reader copies its source into memory in a goroutine of its own. The memory is
// bounded for each stream (StreamBytes) and for all streams of the instance
// (Budget). At a bound, the source is read no faster than the caller reads; a caller
// that waits always gets the next part, so that slow callers don't block others.
//
// # Usage
//
//	bu := &readahead.Budget{Bytes: readahead.DefaultBytes}
//	rd := readahead.NewReader(stream, bu)
//	n, err := rd.Read(buffer) // any error of the source follows its last byte
//	err = rd.Close()          // call it after the source's context is canceled
package readahead
