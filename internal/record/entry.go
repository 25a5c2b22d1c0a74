package record

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
)

// hashBytes is the length of a truncated SHA-256. The hash is cryptographic
// because callers choose keys and bodies and could construct collisions of a
// weaker one.
const hashBytes = 16

// Hash is a truncated SHA-256 of a list of strings.
type Hash [hashBytes]byte

// hashOf hashes each part together with its length, so that different lists
// never yield the same hash input.
func hashOf(parts ...string) Hash {
	su := sha256.New()
	var size [8]byte
	for _, pa := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(pa)))
		su.Write(size[:])
		su.Write([]byte(pa))
	}
	return Hash(su.Sum(nil)[:hashBytes])
}

// NewID returns the ID of the call with this Idempotency-Key that a team makes
// to a service.
func NewID(team, service, key string) Hash { return hashOf(team, service, key) }

// NewDigest returns a hash of the content of a call. It is used to detect that
// a key is reused for another request.
func NewDigest(method, path, contentType string, body []byte) Hash {
	return hashOf(method, path, contentType, string(body))
}

// MarshalText encodes the hash as unpadded base64url.
func (ha Hash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, ha[:]), nil
}

// UnmarshalText decodes unpadded base64url. It returns an error unless the hash
// has 16 bytes.
func (ha *Hash) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err == nil && len(raw) != hashBytes {
		err = errors.New("record: a hash must have 16 bytes")
	}
	copy(ha[:], raw)
	return err
}

// State is the state of a call.
type State string

// The states of an entry. An entry in state Begun changes to one of the other
// states, which are final, or is removed by its owner.
const (
	// Begun means that the call may be in flight.
	Begun State = "begun"
	// Answered means that the call ran and Entry.Answer holds the answer.
	Answered State = "answered"
	// Lost means that the call may have been sent and no answer was received.
	Lost State = "lost"
)

// Answer is an endpoint's answer to a call.
type Answer struct {
	Status      int               `json:"status"`
	ContentType string            `json:"content_type,omitempty"`
	Headers     []endpoint.Header `json:"headers,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	// Omitted means that the answer was larger than MaxAnswerBytes, so that only
	// its status is stored.
	Omitted bool `json:"omitted,omitempty"`
}

// MaxAnswerBytes is the maximum total size of the body, headers and content
// type of a stored answer.
const MaxAnswerBytes = 16 << 10

// kept returns the part of the answer that is stored.
func (an Answer) kept() *Answer {
	if an.bytes() > MaxAnswerBytes {
		return &Answer{Status: an.Status, Omitted: true}
	}
	return &an
}

func (an Answer) bytes() int {
	total := len(an.ContentType) + len(an.Body)
	for _, he := range an.Headers {
		total += len(he.Name) + len(he.Value)
	}
	return total
}

// Entry is the stored state of one call.
type Entry struct {
	ID    Hash  `json:"id"`
	State State `json:"state"`
	// Write is the unique ID of the change that began the call. It identifies
	// the owner of the entry.
	Write string `json:"write"`
	// Instance is the name of the instance that began the call.
	Instance string `json:"instance"`
	Digest   Hash   `json:"digest"`
	// BegunMS, UntilMS and ExpiresMS are Unix times in milliseconds: the time at
	// which the call began, the deadline at which its owner stops waiting, and the time
	// after which the entry may be removed.
	BegunMS   int64   `json:"begun_ms"`
	UntilMS   int64   `json:"until_ms"`
	ExpiresMS int64   `json:"expires_ms"`
	Answer    *Answer `json:"answer,omitempty"`
}

// ownerGrace is added to the deadline of a call before other instances assume
// that its owner will not finish it. It allows for clock skew.
const ownerGrace = 5 * time.Second

// Abandoned reports whether the call has no outcome although its deadline
// passed more than ownerGrace ago.
func (en Entry) Abandoned(now time.Time) bool {
	return en.State == Begun && now.UnixMilli() > en.UntilMS+ownerGrace.Milliseconds()
}

func (en Entry) expired(now time.Time) bool { return now.UnixMilli() > en.ExpiresMS }

// WithAnswer returns a copy of the entry in state Answered.
func (en Entry) WithAnswer(an Answer) Entry {
	en.State = Answered
	en.Answer = an.kept()
	return en
}

// WithLost returns a copy of the entry in state Lost.
func (en Entry) WithLost() Entry {
	en.State = Lost
	return en
}

// entryBytes is the encoded size of an entry without its answer, its instance
// and its write ID.
const entryBytes = 280

// size returns an upper estimate of the encoded size in bytes.
func (en Entry) size() int {
	total := entryBytes + len(en.Instance) + len(en.Write)
	if en.Answer == nil {
		return total
	}
	total += 96 + len(en.Answer.Body)*4/3
	for _, he := range en.Answer.Headers {
		total += 32 + 2*(len(he.Name)+len(he.Value))
	}
	return total + 2*len(en.Answer.ContentType)
}

// UnmarshalJSON decodes an entry. It returns an error of kind Corrupt if the
// entry is not consistent.
func (en *Entry) UnmarshalJSON(data []byte) error {
	type plain Entry
	var pl plain
	if err := json.Unmarshal(data, &pl); err != nil {
		return err
	}
	*en = Entry(pl)
	known := en.State == Begun || en.State == Answered || en.State == Lost
	if !known || en.Write == "" || (en.State == Answered) != (en.Answer != nil) {
		return &Error{Op: "decode", Kind: Corrupt, Err: errors.New("entry with state " + string(en.State))}
	}
	return nil
}
