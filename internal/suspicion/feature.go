package suspicion

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FeatureKind tells what a Feature stands for.
type FeatureKind uint8

// The kinds of features.
const (
	// KindRequest is a request as a whole, without its ID.
	KindRequest FeatureKind = iota
	// KindPart is a part of a prompt that requests have in common.
	KindPart
)

// String returns the name of the kind in logs.
func (ki FeatureKind) String() string {
	if ki == KindPart {
		return "part"
	}
	return "request"
}

// Feature is something that requests have in common and that may crash endpoints. A
// Feature with Hash zero stands for nothing and is always clear.
type Feature struct {
	Kind FeatureKind
	Hash uint64
}

// Whole returns the feature of all requests with the same fingerprint.
func Whole(fingerprint uint64) Feature { return Feature{Kind: KindRequest, Hash: fingerprint} }

// SharedPart returns the feature of requests to a service with the same part in their
// prompts. A part that crashes one version of the endpoints' software may be harmless
// for another.
func SharedPart(service, version, part string) Feature {
	di := xxhash.New()
	for _, text := range []string{service, version, part} {
		_, _ = di.WriteString(text)
		_, _ = di.WriteString("\x00")
	}
	return Feature{Kind: KindPart, Hash: di.Sum64()}
}

// String returns the kind and the hash, as in logs.
func (fe Feature) String() string { return fmt.Sprintf("%s/%016x", fe.Kind, fe.Hash) }
