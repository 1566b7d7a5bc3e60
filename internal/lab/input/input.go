// Package input defines the inputs of tasks for fake workers and the answers to them.
package input

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Header is the first line of an input, in JSON; it tells a fake worker how the task behaves.
type Header struct {
	// Run is the task's run time in milliseconds.
	Run int64 `json:"run,omitempty"`
	// Size is the length of the answer in bytes.
	Size int `json:"size,omitempty"`
	// Seed makes inputs and thereby their answers differ.
	Seed uint64 `json:"seed,omitempty"`
	// Fail is the error text with which the task fails at the end of its run time.
	Fail string `json:"fail,omitempty"`
	// Crash ends the task's process halfway through its run time, without a checkpoint.
	Crash bool `json:"crash,omitempty"`
}

// MaxSize bounds the length of an answer in bytes.
const MaxSize = 32 << 20

// Duration returns the run time.
func (h Header) Duration() time.Duration { return time.Duration(h.Run) * time.Millisecond }

// Encode returns an input: the header line followed by payload.
func Encode(h Header, payload []byte) []byte {
	line, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("input: encode header: %v", err))
	}
	return append(append(line, '\n'), payload...)
}

// Parse returns the header of an input, or an empty header if the first line is not a valid one.
func Parse(in []byte) Header {
	line, _, _ := bytes.Cut(in, []byte{'\n'})
	var h Header
	if err := json.Unmarshal(line, &h); err != nil {
		return Header{}
	}
	h.Size = min(max(h.Size, 0), MaxSize)
	h.Run = max(h.Run, 0)
	return h
}

// Answer returns the answer to an input. Its bytes depend on every byte of the input, so that a check can tell whether
// an answer belongs to its request.
func Answer(in []byte) []byte {
	b := make([]byte, Parse(in).Size)
	// Read of a ChaCha8 source never fails.
	_, _ = rand.NewChaCha8(sha256.Sum256(in)).Read(b)
	return b
}
