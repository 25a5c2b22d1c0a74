package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/pkg/kind"
)

// maxWriteAttempts limits how often a write is sent. It is sent again if its
// outcome is unknown. A shard is also sent again after a conflict.
const maxWriteAttempts = 4

// publishTimeout limits the time from the write of the first shard to that of
// the head, because garbage collection deletes shards that no head has named
// for long.
const publishTimeout = time.Minute

// ShardPrefix is the prefix of the key of a shard in the platform. The hash of
// the shard follows it.
const ShardPrefix = "configuration/shards/"

// Publish writes a complete configuration if previous is the current object
// version of the head. Zero means that no head exists yet. It returns the new
// object version. An error of kind Conflict means that the head has changed or
// that the time for publishing ended, and one of kind Unsettled that it is
// unknown whether the write took effect.
func Publish(ctx context.Context, store platform.Store, previous int64, cf *kind.Configuration) (int64, error) {
	bu, err := Pack(cf)
	if err != nil {
		return 0, err
	}
	return PublishBundle(ctx, store, previous, bu, nil)
}

// PublishBundle is Publish for a bundle. It writes the shards before the head,
// so a head never names a missing shard. The shards of base, which is the bundle
// of the head at previous or nil, already exist and are not written again.
func PublishBundle(ctx context.Context, store platform.Store, previous int64, bu, base *Bundle) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for _, hash := range bu.Head.MissingShards(shardsOf(base)) {
		if err := publishShard(ctx, store, hash, bu.shards[hash]); err != nil {
			return 0, err
		}
	}
	data, err := json.Marshal(bu.Head)
	if err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, &Error{Op: "publish", Kind: Conflict, Err: err}
	}
	return publishHead(ctx, store, previous, data)
}

// publishShard writes a shard. It rewrites one that exists, because the new
// object version keeps a running garbage collection from deleting it. The old
// version is read first: shards of one hash are equal, so that only a higher
// version shows that a write with a lost response took effect.
func publishShard(ctx context.Context, store platform.Store, hash string, data []byte) error {
	ob, err := store.Get(ctx, ShardPrefix+hash)
	if err != nil && !platform.IsKind(err, platform.NotFound) {
		return err
	}
	previous := ob.Version
	for range maxWriteAttempts {
		_, err = store.Update(ctx, ShardPrefix+hash, previous, data)
		if err == nil {
			return nil
		}
		if !platform.IsKind(err, platform.Unknown) && !platform.IsKind(err, platform.Conflict) {
			return err
		}
		ob, readErr := store.Get(ctx, ShardPrefix+hash)
		if readErr == nil && platform.IsKind(err, platform.Unknown) && ob.Version > previous {
			return nil
		}
		if readErr == nil || platform.IsKind(readErr, platform.NotFound) {
			previous = ob.Version
		}
	}
	return err
}

// publishHead writes the head. Repeated attempts take effect at most once,
// because each is conditional on the object version previous. After a conflict or
// an unknown outcome it reads the head back. The content names the plan and the
// step, so equal bytes prove that its own write took effect.
func publishHead(ctx context.Context, store platform.Store, previous int64, data []byte) (int64, error) {
	var err error
	for range maxWriteAttempts {
		var version int64
		version, err = store.Update(ctx, HeadKey, previous, data)
		if err == nil {
			return version, nil
		}
		if platform.IsKind(err, platform.Unavailable) || platform.IsKind(err, platform.Rejected) {
			return 0, err
		}
		ob, readErr := store.Get(ctx, HeadKey)
		switch {
		case readErr == nil && bytes.Equal(ob.Value, data):
			return ob.Version, nil
		case readErr == nil && ob.Version != previous, platform.IsKind(err, platform.Conflict):
			return 0, &Error{Op: "publish", Kind: Conflict, Err: err}
		case readErr != nil && !platform.IsKind(readErr, platform.NotFound):
			return 0, &Error{Op: "publish", Kind: Unsettled, Err: readErr}
		}
	}
	return 0, &Error{Op: "publish", Kind: Unsettled, Err: err}
}

// Read returns the bundle in the platform and the object version of its head.
// Shards that known holds are not read again. known may be nil.
func Read(ctx context.Context, store platform.Store, known *Bundle) (*Bundle, int64, error) {
	ob, err := store.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, err
	}
	bu, err := readBundle(ctx, store, ob.Value, known)
	return bu, ob.Version, err
}

// ReadShards returns the bundle of a head, which need not be the newest one.
// Shards that known holds are not read again. known may be nil.
func ReadShards(ctx context.Context, store platform.Store, he Head, known *Bundle) (*Bundle, error) {
	shards := maps.Clone(shardsOf(known))
	if shards == nil {
		shards = make(map[string][]byte, len(he.Shards))
	}
	for _, hash := range he.MissingShards(shards) {
		ob, err := store.Get(ctx, ShardPrefix+hash)
		if err != nil {
			return nil, err
		}
		shards[hash] = ob.Value
	}
	return Unpack(he, shards)
}

func readBundle(ctx context.Context, store platform.Store, head []byte, known *Bundle) (*Bundle, error) {
	he, err := decodeHead(head)
	if err != nil {
		return nil, &Error{Op: "read", Kind: Damaged, Err: err}
	}
	return ReadShards(ctx, store, he, known)
}

// errNoShards means that a head has no list of shards. Only an empty list says that there are
// no objects.
var errNoShards = errors.New("the head has no list of shards")

func decodeHead(data []byte) (Head, error) {
	var given struct {
		Shards json.RawMessage `json:"shards"`
	}
	if err := json.Unmarshal(data, &given); err != nil {
		return Head{}, err
	}
	if given.Shards == nil {
		return Head{}, errNoShards
	}
	var he Head
	err := json.Unmarshal(data, &he)
	return he, err
}
