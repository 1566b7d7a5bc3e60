package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits of decoding, against peers that send nonsense.
const (
	maxArray = 1 << 17
	maxMap   = 1 << 17
	maxDepth = 16
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// codec is the drpc encoding of every message: CBOR, checked after decoding.
type codec struct{}

var _ drpc.Encoding = codec{}

// Marshal encodes a message.
func (codec) Marshal(m drpc.Message) ([]byte, error) { return encoder.Marshal(m) }

// Unmarshal decodes a message and lets it check itself.
func (codec) Unmarshal(b []byte, m drpc.Message) error {
	if err := decoder.Unmarshal(b, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
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
	m, err := cbor.DecOptions{MaxArrayElements: maxArray, MaxMapPairs: maxMap, MaxNestedLevels: maxDepth}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
