package wire

import "github.com/fxamacker/cbor/v2"

// Limits of decoded messages, in elements of an array or map and in levels.
const (
	maxElements = 8192
	maxNesting  = 16
)

// Raw is an encoded message.
type Raw = cbor.RawMessage

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err) // The options above are constant.
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // The options above are constant.
	}
	return mode
}

// Marshal encodes a message. The error is an [*Error] of kind [Encode].
func Marshal(v any) (Raw, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, &Error{
			Op:   "marshal",
			Kind: Encode,
			Err:  err,
		}
	}
	return data, nil
}

// Unmarshal decodes data into v within the limits of this package. It refuses
// data that continues after the message. The error is an [*Error] of kind
// [Format].
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return &Error{
			Op:   "unmarshal",
			Kind: Format,
			Err:  err,
		}
	}
	return nil
}

// header precedes each message. It is encoded as an array, so its fields must
// keep their order.
type header struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64
	Method string
	Error  string
}

// splitHeader decodes the header at the start of data and returns the rest.
func splitHeader(data []byte) (header, []byte, error) {
	var h header
	rest, err := decMode.UnmarshalFirst(data, &h)
	if err != nil {
		return header{}, nil, &Error{
			Op:   "read header",
			Kind: Format,
			Err:  err,
		}
	}
	return h, rest, nil
}
