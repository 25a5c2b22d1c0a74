package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Number of shards per kind. The shard of an object is chosen by the hash of
// its name, so a change of one object rewrites one shard only.
const (
	teamShards     = 4
	endpointShards = 16
)

// Bundle is a head together with the content of its shards. It is immutable.
type Bundle struct {
	Head   Head
	shards map[string][]byte
	cf     *kind.Configuration
}

// Pack encodes a configuration as a bundle of the same version. The head has
// no plan progress (Moves).
func Pack(cf *kind.Configuration) (*Bundle, error) {
	doc := cf.Document()
	parts := []kind.Document{
		{Halves: doc.Halves, Zones: doc.Zones}, {Services: doc.Services},
	}
	teams := make([]kind.Document, teamShards)
	for _, te := range doc.Teams {
		ix := xxhash.Sum64String(te.Name) % teamShards
		teams[ix].Teams = append(teams[ix].Teams, te)
	}
	endpoints := make([]kind.Document, endpointShards)
	for _, en := range doc.Endpoints {
		ix := xxhash.Sum64String(en.Name) % endpointShards
		endpoints[ix].Endpoints = append(endpoints[ix].Endpoints, en)
	}
	bu := &Bundle{Head: Head{Version: cf.Version(), Shards: []string{}}, shards: make(map[string][]byte), cf: cf}
	for _, part := range append(append(parts, teams...), endpoints...) {
		if err := bu.add(part); err != nil {
			return nil, err
		}
	}
	return bu, nil
}

func (bu *Bundle) add(part kind.Document) error {
	if len(part.Halves)+len(part.Zones)+len(part.Services)+len(part.Teams)+len(part.Endpoints) == 0 {
		return nil
	}
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	hash := hashOf(data)
	bu.Head.Shards = append(bu.Head.Shards, hash)
	bu.shards[hash] = data
	return nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Unpack builds a bundle from a head and its shards, verifies the hash of each
// shard and validates the configuration. The map may hold other shards too. An
// error of kind Incomplete means that a shard is missing from the map, and one
// of kind Damaged that a shard does not match its hash or cannot be decoded. The
// error for an inconsistent configuration is a *kind.Error.
func Unpack(he Head, shards map[string][]byte) (*Bundle, error) {
	bu := &Bundle{Head: he, shards: make(map[string][]byte, len(he.Shards))}
	doc := kind.Document{Version: he.Version}
	for _, hash := range he.Shards {
		data, found := shards[hash]
		if !found {
			return nil, &Error{Op: "unpack", Kind: Incomplete, Err: errors.New("no shard " + hash)}
		}
		if hashOf(data) != hash {
			return nil, &Error{Op: "unpack", Kind: Damaged, Err: errors.New("shard " + hash)}
		}
		var part kind.Document
		if err := json.Unmarshal(data, &part); err != nil {
			return nil, &Error{Op: "unpack", Kind: Damaged, Err: err}
		}
		doc.Halves = append(doc.Halves, part.Halves...)
		doc.Zones = append(doc.Zones, part.Zones...)
		doc.Teams = append(doc.Teams, part.Teams...)
		doc.Services = append(doc.Services, part.Services...)
		doc.Endpoints = append(doc.Endpoints, part.Endpoints...)
		bu.shards[hash] = data
	}
	var err error
	bu.cf, err = kind.NewConfiguration(doc)
	return bu, err
}

// Configuration returns the decoded configuration.
func (bu *Bundle) Configuration() *kind.Configuration { return bu.cf }

// Next returns a bundle of the next version that holds cf. The head records mo
// as the progress of its plan.
func (bu *Bundle) Next(cf *kind.Configuration, mo Move) (*Bundle, error) {
	next, err := Pack(cf.WithVersion(bu.Head.Version + 1))
	if err != nil {
		return nil, err
	}
	next.Head.Moves = bu.Head.WithMove(mo).Moves
	return next, nil
}

// MissingShards returns the hashes of the head's shards that are not keys of
// known.
func (he Head) MissingShards(known map[string][]byte) []string {
	var lacking []string
	for _, hash := range he.Shards {
		if _, found := known[hash]; !found {
			lacking = append(lacking, hash)
		}
	}
	return lacking
}

// shardsOf returns the shards of a bundle, or nil if the bundle is nil.
func shardsOf(bu *Bundle) map[string][]byte {
	if bu == nil {
		return nil
	}
	return bu.shards
}
