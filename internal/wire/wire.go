// Package wire defines the messages between daemons. The types and their msgpack
// codecs are generated from schema/messages. Decoders skip unknown fields, so
// that different releases can communicate.
package wire

import "github.com/tinylib/msgp/msgp"

// Kind identifies the type of a message in a frame.
type Kind uint8

// Message is a generated message that can be sent as a frame.
type Message interface {
	Kind() Kind
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
}
