// Package endpoint is the HTTP client for back ends, which are model engines and
// plain services.
//
// Each generation has an ID that the entry instance chooses. Starting an ID that
// is already running at the engine joins the running generation, so a start is
// idempotent and can be retried after a lost response. Resume continues to read
// a generation from any offset on a new connection.
//
// # Usage
//
//	cl := &endpoint.Client{IdleTimeout: 5 * time.Second}
//	st, err := cl.Generate(en.URL, endpoint.Generation{ID: id, Body: body})
//	if err != nil { return err }
//	defer st.Close()
//	for {
//		var ev endpoint.Event
//		if err := st.Next(&ev); err != nil { return err } // io.EOF after the last event
//	}
//
// The kind of an error says whether the endpoint may have started the work.
// Refused and Unreachable mean that it has not. Lost and TimedOut mean that
// this is unknown.
package endpoint
