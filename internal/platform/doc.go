// Package platform is the client of the platform's object API, which is the only
// persistent storage that filbertstall uses.
//
// Objects have a key, a version and a value of at most MaxValueBytes. Update
// and Delete are conditional on the version. Watch waits for changes to objects
// whose keys begin with a prefix. All code that reads or writes persistent state
// uses the narrow Store interface, so that tests can use platformfake.
//
// # Usage
//
//	st := &platform.HTTPStore{URL: "http://127.0.0.1:7000"}
//	ob, err := st.Get(ctx, "configuration/head")
//	version, err := st.Update(ctx, ob.Key, ob.Version, value)
//	if platform.IsKind(err, platform.Conflict) {
//		// another writer changed the object: read it again
//	}
//
// A Guard wraps a Store for a process. It limits the rate of calls by priority,
// retries calls where that is safe, opens a circuit breaker when the platform
// does not respond, and reads back writes whose responses were lost:
//
//	gu := &platform.Guard{Store: st, Clock: clock, Scope: scope}
//	records := gu.For(platform.ClassRecord) // a Store
//
// An error of kind Unknown means that a write may or may not have taken effect.
// The caller must read the object to find out.
package platform
