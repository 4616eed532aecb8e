// Package peer carries messages between daemons over TCP. A frame is a fixed
// header and a msgpack message; requests and responses share a connection and
// are matched by number, so many calls are in flight at once.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// protocolVersion is the version of the framing. Messages may gain fields
// without a new version.
const protocolVersion = 1

// A frame header: length of what follows the length field (4 bytes), version,
// kind, flags (1 byte each), call number (8 bytes). Integers are big-endian.
const (
	lengthSize = 4
	headerSize = lengthSize + 3 + 8
)

const flagResponse = 1

type frame struct {
	kind     wire.Kind
	response bool
	call     uint64
	payload  []byte
}

// appendFrame encodes a message with its header.
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
		return frame{}, errors.Newf("frame of %d bytes is outside %d to %d", length, headerSize-lengthSize, maxFrame)
	}
	if header[4] != protocolVersion {
		return frame{}, errors.Newf("frame version %d is not supported; this release speaks %d", header[4], protocolVersion)
	}
	f := frame{
		kind:     wire.Kind(header[5]),
		response: header[6]&flagResponse != 0,
		call:     binary.BigEndian.Uint64(header[7:]),
		payload:  make([]byte, length-(headerSize-lengthSize)),
	}
	_, err := io.ReadFull(r, f.payload)
	return f, err
}
