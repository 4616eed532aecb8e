// Package wire holds the messages that daemons exchange. The types and their
// msgpack codecs are generated from schema/messages. Fields that a message
// does not know are skipped, so that peers of different releases understand
// each other.
package wire

import "github.com/tinylib/msgp/msgp"

// Kind tells which message a frame holds.
type Kind uint8

// Message is a generated message that can travel in a frame of its own.
type Message interface {
	Kind() Kind
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
}
