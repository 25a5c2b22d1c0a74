// Package generation serves text generations of language models. For each
// request it acquires a grant, starts the generation at the granted engine and
// relays the engine's tokens to the caller, each exactly once and in order. An
// engine is an endpoint of a model service.
//
// # Usage
//
//	ha := &generation.Handler{Granter: granter, Client: client, Tokens: tokens, Clock: clock}
//	create := filter.Chain(ha.Create, filters...) // POST /v1/completions
//	resume := filter.Chain(ha.Resume, filters...) // GET /v1/generations/{id}/events
//
// The generation ID that callers see is a signed [Token], not to be confused
// with the tokens of text. It holds the endpoint that runs the generation and
// the generation's ID there, so that any instance can resume the stream.
package generation
