// Package peer implements request/response calls between daemons over TCP. A
// frame is a fixed-size header and a msgpack message. Calls are multiplexed on
// one connection: each response carries the call number of its request.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// protocolVersion is the version of the frame format. New message fields do not
// change it.
const protocolVersion = 1

// The frame header consists of the length of the rest of the frame (4 bytes),
// version, kind and flags (1 byte each), and the call number (8 bytes).
// Integers are big-endian.
const (
	lengthSize = 4
	headerSize = lengthSize + 3 + 8
)

const flagResponse = 1 // set on responses

type frame struct {
	kind       wire.Kind
	response   bool
	callNumber uint64 // of the request; equal in its response
	payload    []byte
}

// appendFrame appends the header and the encoded message to b.
func appendFrame(b []byte, m wire.Message, response bool, call uint64) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, protocolVersion, byte(m.Kind()), 0)
	if response {
		b[start+6] = flagResponse
	}
	b = binary.BigEndian.AppendUint64(b, call)
	b, err := m.MarshalMsg(b)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b, nil
}

// readFrame reads one frame of at most maxFrame bytes.
func readFrame(r *bufio.Reader, maxFrame int) (frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length < headerSize-lengthSize || length > maxFrame {
		return frame{}, errors.Newf("frame length %d is outside %d to %d", length, headerSize-lengthSize, maxFrame)
	}
	if header[4] != protocolVersion {
		return frame{}, errors.Newf("frame version %d is not supported; this release supports %d", header[4], protocolVersion)
	}
	f := frame{
		kind:       wire.Kind(header[5]),
		response:   header[6]&flagResponse != 0,
		callNumber: binary.BigEndian.Uint64(header[7:]),
		payload:    make([]byte, length-(headerSize-lengthSize)),
	}
	_, err := io.ReadFull(r, f.payload)
	return f, err
}
