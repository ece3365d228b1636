// Package ptcodec encodes and decodes the messages between the processes of
// the system for drpc.
//
// The generated marshalling methods are used in place of reflection, because
// the codec stands on the path of every task.
//
// # Usage
//
// The generated drpc code of package ptwire calls the four functions; nothing
// else needs to.
//
// # Rules
//
//  1. Only messages with generated methods are accepted; any other type is a
//     programming error and is returned as one.
//  2. A decoded message owns none of the input: byte fields are copied by the
//     generated code, so a transport may reuse its buffers.
package ptcodec

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// message is what the generator adds to every type of package ptwire.
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

// Unmarshal decodes into a message of package ptwire.
func Unmarshal(encoded []byte, value drpc.Message) (err error) {
	msg, err := asMessage(value)
	if err != nil {
		return err
	}
	return msg.UnmarshalVT(encoded)
}

// JSONMarshal returns the JSON form of a message, for people who debug.
func JSONMarshal(value drpc.Message) (encoded []byte, err error) {
	msg, err := asMessage(value)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(msg)
}

// JSONUnmarshal decodes the JSON form of a message.
func JSONUnmarshal(encoded []byte, value drpc.Message) (err error) {
	msg, err := asMessage(value)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(encoded, msg)
}
