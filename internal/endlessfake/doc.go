// Package endlessfake has a faulty server for tests: its answers have no end.
//
// # Usage
//
//	for _, wa := range endlessfake.Ways() {
//		se := endlessfake.Serve(t, wa)
//		// make a call to se.Address
//		written := se.Written()
//	}
package endlessfake
