package peer

import (
	"bufio"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/mustardstep/mustardstep/internal/wire"
)

// PeekHello returns the hello that opens a peer connection and leaves it in
// the reader, so that a relay can pass it on. The hello must fit the reader's
// buffer.
func PeekHello(r *bufio.Reader) (*wire.Hello, error) {
	header, err := r.Peek(headerSize)
	if err != nil {
		return nil, err
	}
	if kind := wire.Kind(header[lengthSize+1]); kind != wire.KindHello {
		return nil, errors.Newf("expected a hello, got kind %d", kind)
	}
	whole, err := r.Peek(lengthSize + int(binary.BigEndian.Uint32(header)))
	if err != nil {
		return nil, err
	}
	hello := &wire.Hello{}
	_, err = hello.UnmarshalMsg(whole[headerSize:])
	return hello, err
}
