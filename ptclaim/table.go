package ptclaim

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/primrosetiller/primrosetiller/ptid"
)

// Fingerprint is a hash that identifies a submission key or the content of a request.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a sequence of fields.
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

// Claim is the claim of a job to be the only job that runs for a submission key.
type Claim struct {
	Key     Fingerprint `json:"key"`
	Request Fingerprint `json:"request"`
	Job     ptid.JobID  `json:"job"`
	// Supersedes is empty, or the job that this claim replaces as the holder of the key.
	// The replaced job is proven not to have run.
	Supersedes ptid.JobID `json:"supersedes,omitempty"`
}

// Record is one record of the stream. It holds the claims of one group commit.
type Record struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Address is where other entries reach the claiming entry.
	Address string  `json:"address,omitempty"`
	Claims  []Claim `json:"claims"`
}

// Holder describes the job that holds a key.
type Holder struct {
	Job     ptid.JobID
	Request Fingerprint
	// Address is where the entry that owns the job was reachable when it appended the
	// claim.
	Address string
}

type heldKey struct {
	holder    Holder
	claimedAt time.Time
}

type takenKey struct {
	key       Fingerprint
	claimedAt time.Time
}

// Table holds the state that results from applying the records of the stream in order.
// It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	held      map[Fingerprint]heldKey
	// order holds the claims that took a key, oldest first. A superseded claim stays in
	// order until it expires. Its expiry does not remove the key, which a newer claim holds.
	order    []takenKey
	newestAt time.Time
}

// NewTable returns an empty table that retains keys for the given time.
func NewTable(retention time.Duration) *Table {
	return &Table{retention: retention, held: make(map[Fingerprint]heldKey)}
}

// Apply decodes and applies a record. For each claim of the record, in order, it returns
// the holder of the claimed key after the claim was applied.
func (table *Table) Apply(data []byte) (record Record, holders []Holder, err error) {
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, nil, err
	}
	table.expire(record.At)
	for _, claim := range record.Claims {
		holders = append(holders, table.claim(claim, record.Address))
	}
	return record, holders, nil
}

func (table *Table) claim(claim Claim, address string) Holder {
	held, found := table.held[claim.Key]
	if found && (claim.Supersedes == "" || held.holder.Job != claim.Supersedes) {
		return held.holder
	}
	holder := Holder{Job: claim.Job, Request: claim.Request, Address: address}
	table.order = append(table.order, takenKey{key: claim.Key, claimedAt: table.newestAt})
	table.held[claim.Key] = heldKey{holder: holder, claimedAt: table.newestAt}
	return holder
}

// expire removes keys that are older than the retention time. It uses only the timestamps
// of the records, so that every reader removes the same keys at the same record.
func (table *Table) expire(now time.Time) {
	if now.After(table.newestAt) {
		table.newestAt = now
	}
	oldest := table.newestAt.Add(-table.retention)
	for len(table.order) > 0 {
		taken := table.order[0]
		if taken.claimedAt.After(oldest) {
			return
		}
		if table.held[taken.key].claimedAt.Equal(taken.claimedAt) {
			delete(table.held, taken.key)
		}
		table.order = table.order[1:]
	}
}

// Keys returns how many keys the table holds.
func (table *Table) Keys() int { return len(table.held) }
