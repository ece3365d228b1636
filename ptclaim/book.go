package ptclaim

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Fingerprint identifies a submission key, or the content of a request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of some fields.
func FingerprintOf(fields ...[]byte) (fingerprint Fingerprint) {
	hash := sha256.New()
	for _, field := range fields {
		size := len(field)
		hash.Write([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		hash.Write(field)
	}
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// MarshalText implements encoding.TextMarshaler.
func (fingerprint Fingerprint) MarshalText() ([]byte, error) { return encodeText(fingerprint[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (fingerprint *Fingerprint) UnmarshalText(text []byte) error {
	return decodeText(fingerprint[:], text)
}

// Claim says that a job wants to be the only one to run for a key.
type Claim struct {
	Key     Fingerprint `json:"key"`
	Request Fingerprint `json:"request"`
	Job     ptid.JobID  `json:"job"`
	// Supersedes names the job that holds the key and has certainly not run.
	Supersedes ptid.JobID `json:"supersedes,omitempty"`
}

// Record is one record of the stream: the claims of one group commit.
type Record struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Address is where other entries reach the one that claims.
	Address string  `json:"address,omitempty"`
	Claims  []Claim `json:"claims"`
}

// Holder is the job that holds a key.
type Holder struct {
	Job     ptid.JobID
	Request Fingerprint
	// Address is where the entry that owns the job was reached when it claimed.
	Address string
}

type heldKey struct {
	holder Holder
	at     time.Time
}

type takenKey struct {
	key Fingerprint
	at  time.Time
}

// Table is the pure fold of the claims stream. It is not safe for concurrent use.
type Table struct {
	window time.Duration
	held   map[Fingerprint]heldKey
	// order holds every claim that took a key, oldest first; a superseded one stays
	// until its time and then removes nothing.
	order  []takenKey
	newest time.Time
}

// NewTable returns an empty book that remembers keys for a window.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, held: make(map[Fingerprint]heldKey)}
}

// Apply takes a record and returns who holds each claimed key after it, in the
// order of the claims.
func (book *Table) Apply(data []byte) (record Record, holders []Holder, err error) {
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, nil, err
	}
	book.expire(record.At)
	for _, claim := range record.Claims {
		holders = append(holders, book.claim(claim, record.Address))
	}
	return record, holders, nil
}

func (book *Table) claim(claim Claim, address string) Holder {
	held, found := book.held[claim.Key]
	if found && (claim.Supersedes == "" || held.holder.Job != claim.Supersedes) {
		return held.holder
	}
	holder := Holder{Job: claim.Job, Request: claim.Request, Address: address}
	book.order = append(book.order, takenKey{key: claim.Key, at: book.newest})
	book.held[claim.Key] = heldKey{holder: holder, at: book.newest}
	return holder
}

// expire forgets keys that are older than the window, by the stamps of the
// records alone, so that every reader forgets the same ones at the same record.
func (book *Table) expire(now time.Time) {
	if now.After(book.newest) {
		book.newest = now
	}
	oldest := book.newest.Add(-book.window)
	for len(book.order) > 0 {
		taken := book.order[0]
		if taken.at.After(oldest) {
			return
		}
		if book.held[taken.key].at.Equal(taken.at) {
			delete(book.held, taken.key)
		}
		book.order = book.order[1:]
	}
}

// Keys returns how many keys the book remembers.
func (book *Table) Keys() int { return len(book.held) }
