package writetimeout

// QuietLogger discards the HTTP library's log lines about broken connections. They
// name no request, and errors that concern a request are logged where they are
// handled.
type QuietLogger struct{}

// Printf implements fasthttp.Logger.
func (QuietLogger) Printf(string, ...any) {}
