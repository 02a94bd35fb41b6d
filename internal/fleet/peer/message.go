package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxMessageBytes limits the size of a request or an answer. The largest are
// configuration shards and heads of at most 1 MiB.
const maxMessageBytes = 4 << 20

// pingKind is the kind of pings, requests that are answered without a handler.
const pingKind = "ping"

// request is the message that a caller sends on a stream.
type request struct {
	Kind    string        `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint,omitempty"` // how long the caller waits
	Body    []byte        `cbor:"3,keyasint,omitempty"`
}

// answer is the message that the other host sends back on the stream. An empty
// Kind means success.
type answer struct {
	Body    []byte    `cbor:"1,keyasint,omitempty"`
	Kind    ErrorKind `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
}

// readMessage reads r to its end and decodes the message into v.
func readMessage(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return errors.Errorf("message is larger than %d bytes", maxMessageBytes)
	}
	return errors.Wrap(cbor.Unmarshal(data, v), "decode message")
}

// writeMessage encodes v, writes it and closes w.
func writeMessage(w io.WriteCloser, v any) error {
	data, err := cbor.Marshal(v)
	if err == nil && len(data) > maxMessageBytes {
		err = errors.Errorf("message of %d bytes is larger than the limit of %d bytes", len(data), maxMessageBytes)
	}
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Close()
}
