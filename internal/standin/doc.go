// Package standin implements test doubles of the systems around filbertstall: a
// model engine, a plain service and the platform. Each one implements the
// published protocol of the real system and can inject faults.
//
// The package imports no product code except types of the wire protocols.
//
// # Usage
//
//	en := standin.NewEngine(standin.EngineOptions{Name: "engine-1", Seed: 1, Sequences: 256, MemoryTokens: 60000})
//	err := standin.Serve(listener, en) // until the listener is closed
//
// All stand-ins serve GET /standin/calls, GET /standin/load and
// POST /standin/faults.
package standin
