package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// State is the state of a recorded task.
type State string

// The states of a record. All but Open are final.
const (
	Open      State = "open"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Record is the durable record of one task.
type Record struct {
	Team fleet.TeamName `json:"team"`
	ID   string         `json:"id"`
	// Attempt counts the workers to which the task was assigned; the task id at the worker is "<id>.<attempt>".
	Attempt int              `json:"attempt"`
	Owner   fleet.EntryID    `json:"owner"`
	Worker  fleet.InstanceID `json:"worker,omitempty"`
	Address string           `json:"address,omitempty"` // of the worker
	Queue   fleet.QueueName  `json:"queue"`
	Pool    fleet.PoolName   `json:"pool"`
	Slots   int              `json:"slots"`
	Urgent  bool             `json:"urgent,omitempty"`
	Once    bool             `json:"once,omitempty"`  // not idempotent
	Async   bool             `json:"async,omitempty"` // the caller polls for the result; adopted if its owner is lost
	Key     string           `json:"key,omitempty"`   // the caller's idempotency key
	Timeout time.Duration    `json:"timeout,omitempty"`
	// Boot is the worker's boot id at or before the start: a restarted worker no longer knows its former tasks.
	Boot string `json:"boot,omitempty"`
	// InputDigest detects requests that reuse a key with another input.
	InputDigest string `json:"check,omitempty"`
	State       State  `json:"state"`
	// Input and Result name objects in the object store; Length (in bytes) and Digest describe the result.
	Input  string `json:"input,omitempty"`
	Result string `json:"result,omitempty"`
	Length int64  `json:"length,omitempty"`
	Digest string `json:"digest,omitempty"`
	// Kind, Work and Detail describe the rejection that a failed task ended with.
	Kind   string `json:"kind,omitempty"`
	Work   string `json:"work,omitempty"`
	Detail string `json:"detail,omitempty"`

	// Write is unique per attempted write; the Repository sets it to resolve writes whose reply was lost.
	Write string `json:"write"`
	// Bucket is the retention bucket with which the record is deleted; the Repository sets it.
	Bucket string `json:"bucket"`

	version uint64
}

// Task returns the task id at the worker.
func (r Record) Task() fleet.TaskID { return fleet.TaskID(fmt.Sprintf("%s.%d", r.ID, r.Attempt)) }

// Final reports whether the task has ended.
func (r Record) Final() bool { return r.State != Open && r.State != "" }

// keyDigits is the number of hexadecimal digits of an id derived from an idempotency key.
const keyDigits = 32

// KeyID returns the id of a team's task with an idempotency key.
func KeyID(t fleet.TeamName, key string) string {
	// A name contains no zero byte, so no two pairs of team and key give the same input.
	sum := sha256.Sum256([]byte(string(t) + "\x00" + key))
	return hex.EncodeToString(sum[:])[:keyDigits]
}

// NewID returns the id of a task without an idempotency key.
func NewID() string { return strings.ToLower(ulid.Make().String()) }

// InputName returns the name of the object for a task's input.
func InputName(t fleet.TeamName, id string) string { return fmt.Sprintf("task/%s/%s/input", t, id) }

// ResultName returns the name of the object for the result of one attempt.
func ResultName(t fleet.TeamName, id string, attempt int) string {
	return fmt.Sprintf("task/%s/%s/result.%d", t, id, attempt)
}

const (
	taskPrefix   = "task/"
	ownerPrefix  = "owner/"  // owner/<entry>/<team>/<id>: open asynchronous records, for adoption
	bucketPrefix = "expiry/" // expiry/<entry>.<bucket>/<team>/<id>: every record, for deletion
)

func taskKey(t fleet.TeamName, id string) string { return taskPrefix + string(t) + "/" + id }

func (r Record) key() string { return taskKey(r.Team, r.ID) }

func (r Record) bucketKey() string {
	return bucketPrefix + r.Bucket + "/" + string(r.Team) + "/" + r.ID
}

// ownerKey returns the index key by which an open asynchronous record is found for adoption, or "".
func (r Record) ownerKey() string {
	if !r.Async || r.Final() {
		return ""
	}
	return ownerPrefix + string(r.Owner) + "/" + string(r.Team) + "/" + r.ID
}

// parseIndex splits an index key into its first part and its task.
func parseIndex(prefix, key string) (first string, t fleet.TeamName, id string, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if len(parts) != 3 {
		return "", "", "", false
	}
	return parts[0], fleet.TeamName(parts[1]), parts[2], true
}
