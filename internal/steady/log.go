package steady

// QuietLogger drops an HTTP library's own lines about broken connections: they
// name no request, and what concerns one is logged where it is decided.
type QuietLogger struct{}

// Printf implements fasthttp.Logger.
func (QuietLogger) Printf(string, ...any) {}
