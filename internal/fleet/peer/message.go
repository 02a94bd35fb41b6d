package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxMessage bounds a request and an answer in bytes. The largest are
// configuration shards and heads of at most 1 MiB.
const maxMessage = 4 << 20

// pingKind is the kind of the request that only asks for an answer.
const pingKind = "ping"

// request is the only message of a caller on a stream.
type request struct {
	Kind    string        `cbor:"1,keyasint"`
	Timeout time.Duration `cbor:"2,keyasint,omitempty"` // how long the caller waits
	Body    []byte        `cbor:"3,keyasint,omitempty"`
}

// answer is the only message of the other side.
type answer struct {
	Body    []byte    `cbor:"1,keyasint,omitempty"`
	Kind    ErrorKind `cbor:"2,keyasint,omitempty"`
	Message string    `cbor:"3,keyasint,omitempty"`
}

// readMessage reads all of a stream's one direction into v.
func readMessage(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return errors.Errorf("message is larger than %d bytes", maxMessage)
	}
	return errors.Wrap(cbor.Unmarshal(data, v), "message does not decode")
}

// writeMessage writes v and ends the stream's direction.
func writeMessage(w io.WriteCloser, v any) error {
	data, err := cbor.Marshal(v)
	if err == nil && len(data) > maxMessage {
		err = errors.Errorf("message of %d bytes is larger than %d", len(data), maxMessage)
	}
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return w.Close()
}
