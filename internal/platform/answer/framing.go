package answer

import "strings"

const (
	codingField = "Transfer-Encoding"
	lengthField = "Content-Length"
	// maxLengthDigits bounds a length to what fits an int64.
	maxLengthDigits = 18
)

// framing checks the fields of a header section that tell where the body ends.
type framing struct {
	isHTTP10 bool
	current  string // the field of the current line, if it is one of them
	coded    bool   // there is a field Transfer-Encoding
	length   string // value of the field Content-Length; "" if there is none
}

// startField reports whether the field with the given name is one of the framing.
func (f *framing) startField(name []byte) bool {
	for _, field := range []string{codingField, lengthField} {
		if strings.EqualFold(string(name), field) {
			f.current = field
		}
	}
	return f.current != ""
}

// endField checks the line of the current field, if it is one of the framing. It returns
// what is wrong, or "".
func (f *framing) endField(line []byte) string {
	field := f.current
	if field == "" {
		return ""
	}
	f.current = ""
	value := strings.Trim(string(line[len(field+":"):]), " \t")
	switch {
	case field == codingField && f.coded:
		return "the answer has more than one field Transfer-Encoding"
	case field == codingField:
		f.coded = true
		if !strings.EqualFold(value, "chunked") {
			return "the transfer coding is not chunked"
		}
	case !isNumber(value) || len(value) > maxLengthDigits:
		return "the length is not a number that a body may have"
	case f.length != "" && f.length != value:
		return "the answer has two different lengths"
	default:
		f.length = value
	}
	return ""
}

// check checks the fields together. It returns what is wrong, or "".
func (f *framing) check() string {
	switch {
	case f.coded && f.isHTTP10:
		return "an answer of HTTP/1.0 has a field Transfer-Encoding"
	case f.coded && f.length != "":
		return "the answer has both a field Transfer-Encoding and a field Content-Length"
	}
	return ""
}

func isNumber(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) {
			return false
		}
	}
	return s != ""
}
