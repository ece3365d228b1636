// Package ptcodec encodes and decodes the messages between the processes for drpc.
//
// It calls the generated marshalling methods and does not use reflection, because every task
// passes through the codec.
//
// # Usage
//
// The generated drpc code of package ptwire calls the functions of this package. No other code
// needs to.
//
// # Rules
//
//  1. Only messages with generated methods are accepted. Any other type is a programming error,
//     for which the functions return an error.
//  2. A decoded message does not refer to the input: the generated code copies byte fields, so a
//     transport may reuse its buffers.
package ptcodec

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// message is the interface of the generated types of package ptwire.
type message interface {
	proto.Message
	MarshalVT() (encoded []byte, err error)
	MarshalToSizedBufferVT(buffer []byte) (size int, err error)
	SizeVT() (size int)
	UnmarshalVT(encoded []byte) error
}

func asMessage(value any) (msg message, err error) {
	msg, ok := value.(message)
	if !ok {
		return nil, errors.Errorf("%T is not a message of package ptwire", value)
	}
	return msg, nil
}

// Marshal returns the encoding of a message of package ptwire.
func Marshal(value drpc.Message) (encoded []byte, err error) {
	msg, err := asMessage(value)
	if err != nil {
		return nil, err
	}
	return msg.MarshalVT()
}

// MarshalAppend appends the encoding of a message of package ptwire to buffer.
func MarshalAppend(buffer []byte, value drpc.Message) (encoded []byte, err error) {
	msg, err := asMessage(value)
	if err != nil {
		return buffer, err
	}
	start, size := len(buffer), msg.SizeVT()
	buffer = slices.Grow(buffer, size)[:start+size]
	if _, err := msg.MarshalToSizedBufferVT(buffer[start:]); err != nil {
		return buffer[:start], err
	}
	return buffer, nil
}

// Unmarshal decodes an encoding into a message of package ptwire.
func Unmarshal(encoded []byte, value drpc.Message) (err error) {
	msg, err := asMessage(value)
	if err != nil {
		return err
	}
	return msg.UnmarshalVT(encoded)
}

// JSONMarshal returns the JSON encoding of a message, for debugging.
func JSONMarshal(value drpc.Message) (encoded []byte, err error) {
	msg, err := asMessage(value)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(msg)
}

// JSONUnmarshal decodes the JSON encoding of a message.
func JSONUnmarshal(encoded []byte, value drpc.Message) (err error) {
	msg, err := asMessage(value)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(encoded, msg)
}
