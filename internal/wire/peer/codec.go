package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits of decoding, against malformed messages.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 17
	maxNestedLevels  = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// codec is the drpc encoding of all messages: CBOR, validated after decoding.
type codec struct{}

var _ drpc.Encoding = codec{}

// Marshal encodes a message.
func (codec) Marshal(m drpc.Message) ([]byte, error) { return encoder.Marshal(m) }

// Unmarshal decodes and validates a message.
func (codec) Unmarshal(b []byte, m drpc.Message) error {
	if err := decoder.Unmarshal(b, m); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	if v, ok := m.(Message); ok {
		return v.Validate()
	}
	return nil
}

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
