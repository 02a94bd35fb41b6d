package response

import (
	"net/http"
	"strconv"
	"strings"
)

// maxKept bounds the part of a line that is kept for checks and errors, in bytes.
const maxKept = 64

// part is a part of a response.
type part int

const (
	statusLine part = iota
	fieldName
	fieldValue
	body // and the trailer
)

// header checks the status line and the header section of a response, and of the
// informational responses before it, as the bytes arrive. The zero value expects a status
// line.
type header struct {
	part          part
	informational bool
	line          []byte // the start of the current line; field values only if they frame the body
	cr            bool   // the last byte was a CR, which must be followed by an LF
	framing       framing
}

// check checks the next bytes. It returns the length of the valid lines, and the error of
// the line after them. The body is not checked.
func (h *header) check(p []byte) (valid int, err *Error) {
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
			return valid, err
		}
		if b == '\n' {
			valid = i + 1
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
	case h.part == fieldName && isWhitespace(b):
		return h.error(ErrorField, "whitespace in a field name")
	case h.part == fieldName && !isToken(b):
		return h.error(ErrorField, "invalid character in a field name")
	}
	if len(h.line) < maxKept && (h.part != fieldValue || h.framing.current != "") {
		h.line = append(h.line, b)
	}
	return nil
}

// checkName checks a complete field name.
func (h *header) checkName() *Error {
	if len(h.line) == 0 {
		return h.error(ErrorField, "empty field name")
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
		return h.error(ErrorField, "field line without a colon")
	case h.informational:
		*h = header{line: h.line}
	default:
		h.part = body
		return h.framingError(h.framing.check())
	}
	return nil
}

// checkStatusLine checks the status line. The reason phrase and the space before it are
// optional, because some servers omit both.
func (h *header) checkStatusLine() *Error {
	const version = len("HTTP/1.1 ")
	line := string(h.line)
	if len(line) < version || !strings.HasPrefix(line, "HTTP/1.") || !isDigit(line[version-2]) || line[version-1] != ' ' {
		return h.error(ErrorStatusLine, "no HTTP/1 version at the start")
	}
	code, _, _ := strings.Cut(line[version:], " ")
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return h.error(ErrorStatusCode, "status code without exactly three digits")
	}
	status, _ := strconv.Atoi(code) // three digits are always a number
	if status < 100 || status > 599 {
		return h.error(ErrorStatusCode, "status code outside 100 to 599")
	}
	if status == http.StatusSwitchingProtocols {
		return h.error(ErrorStatusCode, "101 Switching Protocols without an upgrade in the request")
	}
	h.informational, h.framing.isHTTP10 = status < http.StatusOK, line[version-2] == '0'
	return nil
}

// controlError returns the error for a control character in the current part.
func (h *header) controlError() *Error {
	switch h.part {
	case statusLine:
		return h.error(ErrorStatusLine, "control character in the status line")
	case fieldName:
		return h.error(ErrorField, "control character in a field name")
	}
	return h.error(ErrorField, "control character in a field value")
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

// isToken reports whether b is a token character, as in field names.
func isToken(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isControl reports whether b is a control character other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

func isWhitespace(b byte) bool { return b == ' ' || b == '\t' }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
