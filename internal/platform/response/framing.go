package response

import "strings"

const (
	codingField = "Transfer-Encoding"
	lengthField = "Content-Length"
	// maxLengthDigits bounds a length to what fits an int64.
	maxLengthDigits = 18
)

// framing checks the fields that determine the length of the body.
type framing struct {
	isHTTP10 bool
	current  string // name of the field in the current line, if it frames the body
	coded    bool   // Transfer-Encoding is present
	length   string // value of Content-Length; empty if absent
}

// startField begins the named field and reports whether it frames the body.
func (f *framing) startField(name []byte) bool {
	for _, field := range []string{codingField, lengthField} {
		if strings.EqualFold(string(name), field) {
			f.current = field
		}
	}
	return f.current != ""
}

// endField checks the complete field line if the field frames the body. It returns what is
// wrong, or "".
func (f *framing) endField(line []byte) string {
	field := f.current
	if field == "" {
		return ""
	}
	f.current = ""
	value := strings.Trim(string(line[len(field+":"):]), " \t")
	switch {
	case field == codingField && f.coded:
		return "repeated Transfer-Encoding"
	case field == codingField:
		f.coded = true
		if !strings.EqualFold(value, "chunked") {
			return "unsupported transfer coding"
		}
	case !isNumber(value) || len(value) > maxLengthDigits:
		return "invalid Content-Length"
	case f.length != "" && f.length != value:
		return "conflicting Content-Length values"
	default:
		f.length = value
	}
	return ""
}

// check checks the combination of all fields. It returns what is wrong, or "".
func (f *framing) check() string {
	switch {
	case f.coded && f.isHTTP10:
		return "Transfer-Encoding in an HTTP/1.0 response"
	case f.coded && f.length != "":
		return "both Transfer-Encoding and Content-Length"
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
