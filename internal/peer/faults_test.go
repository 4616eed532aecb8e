package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/mustardstep/mustardstep/internal/wire"
	"github.com/mustardstep/mustardstep/verdict"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// testMaxFrame is the maximum frame size of the transports under test, in bytes.
const testMaxFrame = 4096

func newTestTransport() *Transport {
	return New(Config{
		Hello:       wire.Hello{VM: "a", Incarnation: 1, DataCentre: "rabat"},
		DialTimeout: time.Minute, MaxFrame: testMaxFrame, OnHello: func(wire.Hello) {},
	})
}

// fakePeer is a peer that reads and writes individual frames.
type fakePeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// listenFakePeer runs serve for every connection to the returned address.
func listenFakePeer(t *testing.T, serve func(p *fakePeer)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(&fakePeer{t, conn, bufio.NewReader(conn)})
			}()
		}
	}()
	return listener.Addr().String()
}

// read returns the next frame; ok is false if the connection is closed.
func (p *fakePeer) read() (f frame, ok bool) {
	f, err := readFrame(p.reader, testMaxFrame)
	return f, err == nil
}

func (p *fakePeer) respond(m wire.Message, call uint64) {
	buf, err := appendFrame(nil, m, true, call)
	if err == nil {
		p.conn.Write(buf)
	}
}

// handshake exchanges hellos and returns the first request.
func (p *fakePeer) handshake() (request frame, ok bool) {
	hello, ok := p.read()
	if !ok {
		return frame{}, false
	}
	p.respond(&wire.Hello{VM: "b", Incarnation: 2}, hello.callNumber)
	return p.read()
}

func (p *fakePeer) sendRaw(b []byte) { p.conn.Write(b) }

// header returns a frame header with the given fields and no payload.
func header(length uint32, version byte, kind wire.Kind, flags byte, call uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, length)
	b = append(b, version, byte(kind), flags)
	return binary.BigEndian.AppendUint64(b, call)
}

// emptyFrame is the value of the length field of a frame without payload.
const emptyFrame = headerSize - lengthSize

func callPeer(ctx context.Context, t *Transport, address string) (*wire.SubmitResponse, error) {
	var response wire.SubmitResponse
	err := t.Call(ctx, address, &wire.CancelRequest{Caller: "a"}, &response)
	return &response, err
}

func TestVerdictOfEachFault(t *testing.T) {
	for name, c := range map[string]struct {
		serve   func(p *fakePeer)
		verdict verdict.Verdict
	}{
		"closed before the hello": {func(*fakePeer) {}, verdict.NotRun},
		"hello of another version": {func(p *fakePeer) {
			hello, _ := p.read()
			p.sendRaw(header(emptyFrame, protocolVersion+1, wire.KindHello, flagResponse, hello.callNumber))
			p.read()
		}, verdict.NotRun},
		"other message instead of the hello": {func(p *fakePeer) {
			hello, _ := p.read()
			p.respond(&wire.SubmitResponse{Reason: "x"}, hello.callNumber)
			p.read()
		}, verdict.NotRun},
		"unreadable hello": {func(p *fakePeer) {
			hello, _ := p.read()
			p.sendRaw(append(header(emptyFrame+1, protocolVersion, wire.KindHello, flagResponse, hello.callNumber), 0xc1))
			p.read()
		}, verdict.NotRun},
		"connection closed during a call": {func(p *fakePeer) { p.handshake() }, verdict.MayHaveRun},
		"truncated response": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.sendRaw(header(emptyFrame+50, protocolVersion, wire.KindSubmitResponse, flagResponse, request.callNumber))
		}, verdict.MayHaveRun},
		"response above the limit": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.sendRaw(header(testMaxFrame+1, protocolVersion, wire.KindSubmitResponse, flagResponse, request.callNumber))
			p.read()
		}, verdict.MayHaveRun},
		"response of another version": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.sendRaw(header(emptyFrame, protocolVersion+1, wire.KindSubmitResponse, flagResponse, request.callNumber))
			p.read()
		}, verdict.MayHaveRun},
		"response of another kind": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.respond(&wire.RecordResponse{}, request.callNumber)
			p.read()
		}, verdict.MayHaveRun},
		"unreadable response": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.sendRaw(append(header(emptyFrame+1, protocolVersion, wire.KindSubmitResponse, flagResponse, request.callNumber), 0xc1))
			p.read()
		}, verdict.MayHaveRun},
		"request rejected without handling": {func(p *fakePeer) {
			request, _ := p.handshake()
			p.respond(&wire.ErrorResponse{Reason: "unknown"}, request.callNumber)
			p.read()
		}, verdict.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := callPeer(t.Context(), newTestTransport(), listenFakePeer(t, c.serve))
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, c.verdict, failure.Verdict, failure.Error())
		})
	}
}

func TestVerdictOfRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	_, err = callPeer(t.Context(), newTestTransport(), listener.Addr().String())
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
}

func TestRequestAboveTheLimitIsNotSent(t *testing.T) {
	requests := make(chan frame, 1)
	address := listenFakePeer(t, func(p *fakePeer) {
		if f, ok := p.handshake(); ok {
			requests <- f
		}
	})
	var response wire.SubmitResponse
	request := &wire.CancelRequest{Caller: string(make([]byte, testMaxFrame))}
	err := newTestTransport().Call(t.Context(), address, request, &response)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
	require.Empty(t, requests)
}

// TestLateResponseIsDropped cancels a call whose response arrives later. The
// next call on the connection must not receive that response.
func TestLateResponseIsDropped(t *testing.T) {
	arrived := make(chan struct{})
	address := listenFakePeer(t, func(p *fakePeer) {
		first, _ := p.handshake()
		close(arrived)
		second, ok := p.read()
		if !ok {
			return
		}
		p.respond(&wire.SubmitResponse{Reason: "first"}, first.callNumber)
		p.respond(&wire.SubmitResponse{Reason: "second"}, second.callNumber)
		p.read()
	})
	transport := newTestTransport()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := callPeer(ctx, transport, address)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, verdict.MayHaveRun, failure.Verdict)
	response, err := callPeer(t.Context(), transport, address)
	require.NoError(t, err)
	require.Equal(t, "second", response.Reason)
}

// TestResponsesOutOfOrder sends the responses to two calls in reverse order and
// twice each. Each call must receive its own.
func TestResponsesOutOfOrder(t *testing.T) {
	address := listenFakePeer(t, func(p *fakePeer) {
		first, _ := p.handshake()
		second, _ := p.read()
		for _, f := range []frame{second, first, second, first} {
			var request wire.CancelRequest
			request.UnmarshalMsg(f.payload)
			p.respond(&wire.SubmitResponse{Reason: request.Caller}, f.callNumber)
		}
		p.read()
	})
	transport := newTestTransport()
	answers := make(chan [2]string, 2)
	for _, caller := range []string{"x", "y"} {
		go func() {
			var response wire.SubmitResponse
			transport.Call(t.Context(), address, &wire.CancelRequest{Caller: caller}, &response)
			answers <- [2]string{caller, response.Reason}
		}()
	}
	for range 2 {
		answer := <-answers
		require.Equal(t, answer[0], answer[1])
	}
}

func TestCancelledCallIsNotSent(t *testing.T) {
	address := listenFakePeer(t, func(p *fakePeer) { p.handshake() })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := callPeer(ctx, newTestTransport(), address)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, verdict.NotRun, failure.Verdict)
}

// startTransport starts a transport that serves cancel requests. It returns the
// address and the callers in the requests that its handler received.
func startTransport(t *testing.T) (address string, callers chan string) {
	callers = make(chan string, 10)
	transport := newTestTransport()
	Handle(transport, func(_ context.Context, _ *wire.Hello, m *wire.CancelRequest) wire.Message {
		callers <- m.Caller
		return &wire.SubmitResponse{Reason: "x"}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String(), callers
}

func dialRaw(t *testing.T, address string) *fakePeer {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &fakePeer{t, conn, bufio.NewReader(conn)}
}

func encodeRequest(t *testing.T, m wire.Message, call uint64) []byte {
	buf, err := appendFrame(nil, m, false, call)
	require.NoError(t, err)
	return buf
}

func TestServerClosesInvalidConnections(t *testing.T) {
	hello := encodeRequest(t, &wire.Hello{VM: "b"}, 1)
	cancel := encodeRequest(t, &wire.CancelRequest{Caller: "b"}, 2)
	for name, sent := range map[string][]byte{
		"request before the hello":      cancel,
		"hello of another version":      header(emptyFrame, protocolVersion+1, wire.KindHello, 0, 1),
		"oversized hello":               header(testMaxFrame+1, protocolVersion, wire.KindHello, 0, 1),
		"frame shorter than its header": header(1, protocolVersion, wire.KindHello, 0, 1),
		"another protocol":              []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"oversized request":             append(append([]byte{}, hello...), header(testMaxFrame+1, protocolVersion, wire.KindCancelRequest, 0, 2)...),
		"request of another version": append(append([]byte{}, hello...),
			header(emptyFrame, protocolVersion+1, wire.KindCancelRequest, 0, 2)...),
	} {
		t.Run(name, func(t *testing.T) {
			address, callers := startTransport(t)
			p := dialRaw(t, address)
			p.sendRaw(sent)
			for open := true; open; {
				_, open = p.read()
			}
			require.Empty(t, callers)
		})
	}
}

func TestUnknownKindIsRefusedWithoutClosing(t *testing.T) {
	const unknown = wire.Kind(250)
	address, callers := startTransport(t)
	p := dialRaw(t, address)
	p.sendRaw(encodeRequest(t, &wire.Hello{VM: "b"}, 1))
	p.sendRaw(header(emptyFrame, protocolVersion, unknown, 0, 2))
	_, ok := p.read()
	require.True(t, ok)
	refusal, ok := p.read()
	require.True(t, ok)
	require.Equal(t, wire.KindErrorResponse, refusal.kind)
	require.EqualValues(t, 2, refusal.callNumber)
	p.sendRaw(encodeRequest(t, &wire.CancelRequest{Caller: "b"}, 3))
	require.Equal(t, "b", <-callers)
}

func TestUnreadableRequestIsRefused(t *testing.T) {
	address, callers := startTransport(t)
	p := dialRaw(t, address)
	p.sendRaw(encodeRequest(t, &wire.Hello{VM: "b"}, 1))
	p.sendRaw(append(header(emptyFrame+1, protocolVersion, wire.KindCancelRequest, 0, 2), 0xc1))
	p.read()
	refusal, ok := p.read()
	require.True(t, ok)
	require.Equal(t, wire.KindErrorResponse, refusal.kind)
	require.Empty(t, callers)
}

// TestUnknownFieldsAreSkipped sends a request with fields of a newer release.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	payload := msgp.AppendMapHeader(nil, 3)
	payload = msgp.AppendString(payload, "zz")
	payload = msgp.AppendMapHeader(payload, 1)
	payload = msgp.AppendString(payload, "deep")
	payload = msgp.AppendInt(payload, 7)
	payload = msgp.AppendString(payload, "c")
	payload = msgp.AppendString(payload, "newer")
	payload = msgp.AppendString(payload, "zy")
	payload = msgp.AppendBytes(payload, []byte{1, 2})
	address, callers := startTransport(t)
	p := dialRaw(t, address)
	p.sendRaw(encodeRequest(t, &wire.Hello{VM: "b"}, 1))
	p.sendRaw(append(header(uint32(emptyFrame+len(payload)), protocolVersion, wire.KindCancelRequest, 0, 2), payload...))
	require.Equal(t, "newer", <-callers)
}

// TestUnmatchedResponsesAreDropped sends responses to calls that were never
// made. The connection must stay open.
func TestUnmatchedResponsesAreDropped(t *testing.T) {
	address, callers := startTransport(t)
	p := dialRaw(t, address)
	p.sendRaw(encodeRequest(t, &wire.Hello{VM: "b"}, 1))
	p.respond(&wire.SubmitResponse{Reason: "x"}, 1)
	p.respond(&wire.SubmitResponse{Reason: "x"}, 99)
	p.sendRaw(encodeRequest(t, &wire.CancelRequest{Caller: "b"}, 2))
	require.Equal(t, "b", <-callers)
}

func TestPeekHelloLeavesTheFrame(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	whole := encodeRequest(t, &wire.Hello{VM: "b", DataCentre: "rabat"}, 1)
	go client.Write(whole)
	reader := bufio.NewReader(server)
	hello, err := PeekHello(reader)
	require.NoError(t, err)
	require.Equal(t, "b", hello.VM)
	f, err := readFrame(reader, testMaxFrame)
	require.NoError(t, err)
	require.Equal(t, wire.KindHello, f.kind)
}
