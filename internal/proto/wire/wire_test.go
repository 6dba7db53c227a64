package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"siskinswitch.example/siskin/internal/coord/agent"
	"siskinswitch.example/siskin/internal/coord/leave"
	"siskinswitch.example/siskin/internal/coord/member"
	"siskinswitch.example/siskin/internal/coord/spread"
)

var testKey = []byte("key of one connection")

// Message is the message type of the tests.
type Message struct {
	Name   string            `cbor:"1,keyasint,omitempty"`
	Data   []byte            `cbor:"2,keyasint,omitempty"`
	Counts map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Inner  []Message         `cbor:"4,keyasint,omitempty"`
}

// Echo is the RPC service of the tests.
type Echo struct{}

// Same returns its argument.
func (Echo) Same(args Message, reply *Message) error {
	*reply = args
	return nil
}

// Fail returns an error.
func (Echo) Fail(Message, *Message) error { return errors.New("no such part") }

// Large returns more than a frame can hold.
func (Echo) Large(_ Message, reply *Message) error {
	reply.Data = make([]byte, 4096)
	return nil
}

func newPair(t *testing.T) *rpc.Client {
	t.Helper()
	near, far := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", Echo{}); err != nil {
		t.Fatalf("RegisterName() = %v", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.ServeCodec(NewServer(Config{
			Conn:  far,
			Key:   testKey,
			Limit: 2048,
		}))
	}()
	client := rpc.NewClientWithCodec(NewClient(Config{
		Conn:  near,
		Key:   testKey,
		Limit: 2048,
	}))
	t.Cleanup(func() {
		_ = client.Close()
		<-done
	})
	return client
}

func TestCalls(t *testing.T) {
	big := Message{
		Data: make([]byte, 4096),
	}
	tests := map[string]struct {
		method string
		args   any
		want   string
	}{
		"answer": {
			method: "Echo.Same",
			args: Message{
				Name: "axle",
			},
		},
		"error of the method": {
			method: "Echo.Fail",
			args:   Message{},
			want:   "no such part",
		},
		"unknown method": {
			method: "Echo.None",
			args:   Message{},
			want:   "can't find method",
		},
		"wrong message type": {
			method: "Echo.Same",
			args:   "a string",
			want:   "cannot unmarshal",
		},
		"request too large": {
			method: "Echo.Same",
			args:   big,
			want:   "limit 2048",
		},
		"answer too large": {
			method: "Echo.Large",
			args:   Message{},
			want:   "limit 2048",
		},
		"not encodable": {
			method: "Echo.Same",
			args:   make(chan int),
			want:   "unsupported type",
		},
	}
	client := newPair(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var reply Message
			err := client.Call(tt.method, tt.args, &reply)
			if tt.want == "" && (err != nil || reply.Name != "axle") {
				t.Errorf("Call() = %+v, %v", reply, err)
			}
			if tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("Call() = %v, want %q", err, tt.want)
			}
			if err := client.Call("Echo.Same", Message{}, &reply); err != nil {
				t.Errorf("the connection is not usable afterwards: %v", err)
			}
		})
	}
}

// stream is a connection whose input is fixed and whose output is kept.
type stream struct {
	io.Reader
	out bytes.Buffer
}

func (s *stream) Write(b []byte) (int, error) { return s.out.Write(b) }
func (s *stream) Close() error                { return nil }

// readAll reads all frames in data as a server with messages of type M does, and
// returns the error that ends the input.
func readAll[M any](data []byte, limit int) error {
	s := NewServer(Config{
		Conn: &stream{
			Reader: bytes.NewReader(data),
		},
		Key:   testKey,
		Limit: limit,
	})
	for {
		var r rpc.Request
		if err := s.ReadRequestHeader(&r); err != nil {
			return err
		}
		var m M
		if err := s.ReadRequestBody(&m); err != nil {
			return err
		}
	}
}

// clientFrames returns n frames of one message as a client sends them.
func clientFrames(n int) []byte {
	var s stream
	c := NewClient(Config{
		Conn: &s,
		Key:  testKey,
	})
	for i := range n {
		_ = c.WriteRequest(&rpc.Request{
			Seq:           uint64(i),
			ServiceMethod: "Echo.Same",
		}, Message{
			Name: "axle",
		})
	}
	return s.out.Bytes()
}

// firstFrame returns content as the first frame of a client, with a valid MAC.
func firstFrame(content []byte) []byte {
	s := newFrameMAC(testKey, toServer)
	data := binary.BigEndian.AppendUint32(nil, uint32(versionBytes+macBytes+len(content)))
	data = append(data, Version)
	data = append(data, s.next(content)...)
	return append(data, content...)
}

func withByte(data []byte, i int, b byte) []byte {
	data = bytes.Clone(data)
	data[i] = b
	return data
}

func TestHostileFrames(t *testing.T) {
	one, two := clientFrames(1), clientFrames(2)
	var response stream
	s := NewServer(Config{
		Conn: &response,
		Key:  testKey,
	})
	if err := s.WriteResponse(&rpc.Response{}, Message{}); err != nil {
		t.Fatalf("WriteResponse() = %v", err)
	}
	tests := map[Kind]map[string][]byte{
		Broken: {
			"ends in the length":  one[:3],
			"ends in the MAC":     one[:10],
			"ends in the content": one[:len(one)-1],
		},
		TooLarge: {
			"announces 4 GB": withByte(withByte(one, 0, 0xff), 1, 0xff),
		},
		Format: {
			"shorter than its MAC":    withByte(one, 3, 5),
			"not CBOR":                firstFrame([]byte{0xff, 0xff}),
			"header with wrong types": firstFrame([]byte{0x83, 0x01, 0x02, 0x03}),
			"body of the wrong type":  firstFrame([]byte{0x83, 0x01, 0x61, 'm', 0x60}),
			"data after the message":  firstFrame([]byte{0x83, 0x01, 0x61, 'm', 0x60, 0xa0, 0xa0}),
			"nested too deeply":       firstFrame(append([]byte{0x83, 0x01, 0x61, 'm', 0x60}, bytes.Repeat([]byte{0x81}, maxNesting+2)...)),
			"array of a billion":      firstFrame([]byte{0x83, 0x01, 0x61, 'm', 0x60, 0xa1, 0x04, 0x9a, 0x3b, 0x9a, 0xca, 0x00}),
		},
		BadVersion: {
			"newer version": withByte(one, lengthBytes, Version+1),
		},
		BadMAC: {
			"content with a flipped bit": withByte(one, len(one)-1, one[len(one)-1]^1),
			"replayed":                   append(bytes.Clone(one), one...),
			"reordered":                  two[len(one):],
			"reflected to its sender":    response.out.Bytes(),
		},
	}
	for want, group := range tests {
		for name, data := range group {
			t.Run(name, func(t *testing.T) {
				if err := readAll[Message](data, 0); !IsKind(err, want) {
					t.Errorf("read() = %v, want kind %d", err, want)
				}
			})
		}
	}
	if err := readAll[Message](two, 0); !errors.Is(err, io.EOF) {
		t.Errorf("read() of whole frames = %v, want EOF", err)
	}
}

func TestMemoryFollowsBytesReceived(t *testing.T) {
	const bound = 64 << 10
	data := binary.BigEndian.AppendUint32(nil, DefaultLimit)
	data = append(data, Version)
	data = append(data, make([]byte, 100)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := readAll[Message](data, 0)
	runtime.ReadMemStats(&after)
	if !IsKind(err, Broken) {
		t.Errorf("read() = %v, want kind %d", err, Broken)
	}
	if n := after.TotalAlloc - before.TotalAlloc; n > bound {
		t.Errorf("reading 100 bytes of a frame that announces a megabyte allocated %d bytes, want at most %d", n, bound)
	}
}

// largestMessage returns the largest control message that receivers accept.
func largestMessage() agent.Message {
	m := agent.Message{
		Member: member.Part{
			Records:  make([]member.Record, member.MaxRecords),
			Contacts: make([]member.Contact, member.MaxContacts),
		},
		Marks: make([]leave.Mark, leave.MaxMarks),
		Spread: spread.Part{
			Transfer: &spread.Transfer{
				Base:   strings.Repeat("f", spread.MaxDigestBytes),
				Digest: strings.Repeat("f", spread.MaxDigestBytes),
				Data:   make([]byte, spread.MaxDataBytes),
			},
		},
	}
	for i := range m.Member.Records {
		m.Member.Records[i] = member.Record{
			Host:        "255.255.255.255:65535",
			Incarnation: 1 << 63,
			Revision:    uint64(i),
		}
	}
	for i := range m.Marks {
		m.Marks[i] = leave.Mark{
			Host:        "255.255.255.255:65535",
			Incarnation: 1 << 63,
		}
	}
	return m
}

func TestControlMessagesFit(t *testing.T) {
	sent := largestMessage()
	var s stream
	c := NewClient(Config{
		Conn: &s,
		Key:  testKey,
	})
	if err := c.WriteRequest(&rpc.Request{}, sent); err != nil {
		t.Fatalf("WriteRequest() = %v", err)
	}
	s.Reader = &s.out
	server := NewServer(Config{
		Conn: &s,
		Key:  testKey,
	})
	var got agent.Message
	if err := errors.Join(server.ReadRequestHeader(&rpc.Request{}), server.ReadRequestBody(&got)); err != nil {
		t.Fatalf("read = %v", err)
	}
	if !reflect.DeepEqual(got, sent) {
		t.Error("the received message differs from the sent one")
	}
}

func FuzzStream(f *testing.F) {
	f.Add(clientFrames(2))
	f.Fuzz(func(t *testing.T, data []byte) {
		if readAll[Message](data, 4096) == nil {
			t.Error("reading ended without an error")
		}
	})
}

func FuzzContent(f *testing.F) {
	f.Add(clientFrames(1)[prefixBytes:])
	f.Add(append(clientFrames(1)[prefixBytes:], 0))
	f.Fuzz(func(t *testing.T, content []byte) {
		if readAll[Message](firstFrame(content), 4096) == nil || readAll[agent.Message](firstFrame(content), 4096) == nil {
			t.Error("reading ended without an error")
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	m := Message{
		Data: make([]byte, 1024),
	}
	var s stream
	c := NewClient(Config{
		Conn: &s,
		Key:  testKey,
	})
	b.ReportAllocs()
	for b.Loop() {
		s.out.Reset()
		if err := c.WriteRequest(&rpc.Request{}, m); err != nil {
			b.Fatal(err)
		}
	}
}
