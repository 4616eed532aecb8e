package peer

import (
	"bufio"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// PeekHello returns the hello at the start of a peer connection without
// consuming it, so that a proxy can forward it. The hello must fit the buffer
// of the reader.
func PeekHello(r *bufio.Reader) (*wire.Hello, error) {
	header, err := r.Peek(headerSize)
	if err != nil {
		return nil, err
	}
	if kind := wire.Kind(header[lengthSize+1]); kind != wire.KindHello {
		return nil, errors.Newf("expected a hello, got kind %d", kind)
	}
	raw, err := r.Peek(lengthSize + int(binary.BigEndian.Uint32(header)))
	if err != nil {
		return nil, err
	}
	hello := &wire.Hello{}
	_, err = hello.UnmarshalMsg(raw[headerSize:])
	return hello, err
}
