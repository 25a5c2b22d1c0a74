package daemon_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"sync"

	"filbertstall.example/filbertstall/internal/explain"
)

const (
	// definitionCount and definitionFields are the numbers of types that are defined on a
	// connection, and of the fields of each.
	definitionCount  = 64
	definitionFields = 2000
)

// calls returns a call between instances as the first of a connection and as one of
// those that follow.
var calls = sync.OnceValues(func() (first, next string) {
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	return encodeCall(&out, enc), encodeCall(&out, enc)
})

// encodeCall returns what the encoder writes to out for a call.
func encodeCall(out *bytes.Buffer, enc *gob.Encoder) string {
	out.Reset()
	for _, value := range []any{rpc.Request{ServiceMethod: explain.ServiceName + ".Find", Seq: 1}, explain.FindArgs{Request: "1"}} {
		if err := enc.Encode(value); err != nil {
			panic(err)
		}
	}
	return out.String()
}

// definitions returns messages that only define types, of which a decoder keeps all.
var definitions = sync.OnceValue(func() string {
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	for ix := range definitionCount {
		var fields []reflect.StructField
		for number := range definitionFields {
			fields = append(fields, reflect.StructField{Name: fmt.Sprintf("Field%dOfType%d", number, ix), Type: reflect.TypeFor[int8]()})
		}
		if err := enc.EncodeValue(reflect.New(reflect.StructOf(fields)).Elem()); err != nil {
			panic(err)
		}
	}
	return withoutValues(out.Bytes())
})

// withoutValues removes the messages that are no definition of a type.
func withoutValues(stream []byte) string {
	var kept bytes.Buffer
	for len(stream) > 0 {
		length, width := gobUint(stream)
		message := stream[:width+int(length)]
		if id, _ := gobUint(message[width:]); id&1 == 1 {
			kept.Write(message)
		}
		stream = stream[len(message):]
	}
	return kept.String()
}

// gobUint decodes an unsigned number and returns the bytes that it takes.
func gobUint(data []byte) (value uint64, width int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	width = 1 + int(-int8(data[0]))
	for _, by := range data[1:width] {
		value = value<<8 | uint64(by)
	}
	return value, width
}

// callsUnread writes calls without end and reads no answer.
func callsUnread(conn net.Conn) error {
	first, next := calls()
	return endless(first, next)(conn)
}

// definitionsOnly writes definitions of types, and never a value.
func definitionsOnly(conn net.Conn) error {
	_, err := io.WriteString(conn, definitions())
	return err
}
