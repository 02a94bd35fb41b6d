package answer

import (
	"net/http"
	"strconv"
	"strings"
)

// maxKept is the number of bytes of a line that are kept, for checks and for errors.
const maxKept = 64

// part is a part of a header section.
type part int

const (
	statusLine part = iota
	fieldName
	fieldValue
	body // the header section has ended
)

// header checks the header section of an answer, and of the informational responses
// before it, as its bytes arrive. The zero value expects a status line.
type header struct {
	part          part
	informational bool
	line          []byte // the start of the current line; of values, only those of the framing
	cr            bool   // the last byte was a CR, which only an LF may follow
	framing       framing
}

// check checks the next bytes. It returns the length of the lines that are sound, and the
// error of the line after them. Bytes after the header section are not checked.
func (h *header) check(p []byte) (sound int, err *Error) {
	for i, b := range p {
		switch {
		case h.part == body:
			return len(p), nil
		case b == '\n':
			err = h.endLine()
			h.line, h.cr = h.line[:0], false
		case h.cr:
			err = h.controlError()
		case b == '\r':
			h.cr = true
		default:
			err = h.addByte(b)
		}
		if err != nil {
			return sound, err
		}
		if b == '\n' {
			sound = i + 1
		}
	}
	return len(p), nil
}

// addByte checks a byte within a line.
func (h *header) addByte(b byte) *Error {
	switch {
	case isControl(b):
		return h.controlError()
	case h.part == fieldName && b == ':':
		h.part = fieldValue
		return h.checkName()
	case h.part == fieldName && isBlank(b):
		return h.error(ErrorField, "the name of a field holds a blank")
	case h.part == fieldName && !isToken(b):
		return h.error(ErrorField, "the name of a field holds a byte that no name may hold")
	}
	if len(h.line) < maxKept && (h.part != fieldValue || h.framing.current != "") {
		h.line = append(h.line, b)
	}
	return nil
}

// checkName checks the name of a field when its colon has arrived.
func (h *header) checkName() *Error {
	if len(h.line) == 0 {
		return h.error(ErrorField, "the name of a field is empty")
	}
	if h.framing.startField(h.line) {
		h.line = append(h.line, ':')
	}
	return nil
}

// endLine checks a line and selects the part that follows it.
func (h *header) endLine() *Error {
	switch {
	case h.part == statusLine:
		h.part = fieldName
		return h.checkStatusLine()
	case h.part == fieldValue:
		h.part = fieldName
		return h.framingError(h.framing.endField(h.line))
	case len(h.line) > 0:
		return h.error(ErrorField, "a line has no colon")
	case h.informational:
		*h = header{line: h.line}
	default:
		h.part = body
		return h.framingError(h.framing.check())
	}
	return nil
}

// checkStatusLine checks the status line. The reason may be missing, also with the blank
// before it.
func (h *header) checkStatusLine() *Error {
	const version = len("HTTP/1.1 ")
	line := string(h.line)
	if len(line) < version || !strings.HasPrefix(line, "HTTP/1.") || !isDigit(line[version-2]) || line[version-1] != ' ' {
		return h.error(ErrorStatusLine, "the answer does not begin with a version of HTTP/1")
	}
	code, _, _ := strings.Cut(line[version:], " ")
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return h.error(ErrorStatusCode, "the status code does not have three digits")
	}
	status, _ := strconv.Atoi(code) // of three digits
	if status < 100 || status > 599 {
		return h.error(ErrorStatusCode, "the status code is not one from 100 to 599")
	}
	if status == http.StatusSwitchingProtocols {
		return h.error(ErrorStatusCode, "the status code is 101, but the request has not asked for another protocol")
	}
	h.informational, h.framing.isHTTP10 = status < http.StatusOK, line[version-2] == '0'
	return nil
}

// controlError returns the error for a control byte in the current part.
func (h *header) controlError() *Error {
	switch h.part {
	case statusLine:
		return h.error(ErrorStatusLine, "the status line holds a control byte")
	case fieldName:
		return h.error(ErrorField, "the name of a field holds a control byte")
	}
	return h.error(ErrorField, "the value of a field holds a control byte")
}

// framingError returns an error of the framing, or nil if there is no detail.
func (h *header) framingError(detail string) *Error {
	if detail == "" {
		return nil
	}
	return h.error(ErrorFraming, detail)
}

// error returns an error of the current line.
func (h *header) error(kind ErrorKind, detail string) *Error {
	return &Error{Op: "header", Kind: kind, Detail: detail, Line: string(h.line)}
}

// isToken reports whether b may be part of the name of a field.
func isToken(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isControl reports whether b is a control byte that no line may hold.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
