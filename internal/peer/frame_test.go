package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/stretchr/testify/require"
)

// readLimit is the maximum frame size passed to readFrame, in bytes.
const readLimit = 1 << 12

func encodeFrame(t testing.TB, m wire.Message, response bool, call uint64) []byte {
	b, err := appendFrame(nil, m, response, call)
	require.NoError(t, err)
	return b
}

func TestFrameRoundTrip(t *testing.T) {
	hello := &wire.Hello{VM: "vm0", Incarnation: 7, DataCentre: "dc1", Address: "10.0.0.1:1", Version: "1"}
	f, err := readFrame(bufio.NewReader(bytes.NewReader(encodeFrame(t, hello, true, 42))), readLimit)
	require.NoError(t, err)
	require.Equal(t, wire.KindHello, f.kind)
	require.True(t, f.response)
	require.Equal(t, uint64(42), f.callNumber)
	var got wire.Hello
	_, err = got.UnmarshalMsg(f.payload)
	require.NoError(t, err)
	require.Equal(t, *hello, got)
}

func TestBadFrames(t *testing.T) {
	good := encodeFrame(t, &wire.Hello{VM: "vm0"}, false, 1)
	changed := func(change func([]byte)) []byte {
		b := bytes.Clone(good)
		change(b)
		return b
	}
	for name, test := range map[string]struct {
		data  []byte
		error string
	}{
		"empty":             {nil, io.EOF.Error()},
		"truncated header":  {good[:7], io.ErrUnexpectedEOF.Error()},
		"truncated payload": {good[:len(good)-1], io.ErrUnexpectedEOF.Error()},
		"too long":          {changed(func(b []byte) { binary.BigEndian.PutUint32(b, readLimit+1) }), "outside"},
		"too short":         {changed(func(b []byte) { binary.BigEndian.PutUint32(b, 3) }), "outside"},
		"other version":     {changed(func(b []byte) { b[4] = 9 }), "frame version 9 is not supported"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readFrame(bufio.NewReader(bytes.NewReader(test.data)), readLimit)
			require.ErrorContains(t, err, test.error)
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrame(f, &wire.Hello{VM: "vm0", Incarnation: 1}, false, 1))
	f.Add(encodeFrame(f, &wire.SubmitRequest{Caller: "c", Key: "k", Parameters: []byte("{}")}, false, 2))
	f.Add(encodeFrame(f, &wire.ErrorResponse{Reason: "r"}, true, 1<<63))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			frame, err := readFrame(r, readLimit)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(frame.payload), readLimit)
			_, _ = new(wire.Hello).UnmarshalMsg(frame.payload)
			_, _ = new(wire.SubmitRequest).UnmarshalMsg(frame.payload)
			_, _ = new(wire.SubmitResponse).UnmarshalMsg(frame.payload)
			_, _ = new(wire.RecordRequest).UnmarshalMsg(frame.payload)
		}
	})
}
