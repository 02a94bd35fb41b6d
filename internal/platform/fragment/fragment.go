// Package fragment splits JSON text into the members of an object or the elements of
// an array. It finds the end of a value without decoding it and without recursion,
// since encoding/json rejects a whole text if one value in it is nested too deeply or
// is not JSON. What it returns is decoded, and thereby checked, one value at a time.
package fragment

import (
	"bytes"

	"github.com/pkg/errors"
)

var errMalformed = errors.New("not JSON or not complete")

// Members calls visit with each name, without quotes, and value of a JSON object.
func Members(object []byte, visit func(name, value []byte) error) error {
	return split(object, '{', '}', visit)
}

// Elements calls visit with each element of a JSON array. It accepts null.
func Elements(array []byte, visit func(value []byte) error) error {
	if len(array) == 0 || string(array) == "null" {
		return nil
	}
	return split(array, '[', ']', func(_, value []byte) error { return visit(value) })
}

// split calls visit with each part of text between the brackets begin and end.
// Parts of an object have names.
func split(text []byte, begin, end byte, visit func(name, value []byte) error) error {
	i := skipSpace(text, 0)
	if i == len(text) || text[i] != begin {
		return errMalformed
	}
	i = skipSpace(text, i+1)
	if i < len(text) && text[i] == end {
		return checkEnd(text, i+1)
	}
	for {
		var name []byte
		if begin == '{' {
			if i == len(text) || text[i] != '"' {
				return errMalformed
			}
			after := skipString(text, i)
			if after < 0 {
				return errMalformed
			}
			name = text[i+1 : after-1]
			if i = skipSpace(text, after); i == len(text) || text[i] != ':' {
				return errMalformed
			}
			i = skipSpace(text, i+1)
		}
		after := skipValue(text, i)
		if after < 0 {
			return errMalformed
		}
		if err := visit(name, text[i:after:after]); err != nil {
			return err
		}
		if i = skipSpace(text, after); i == len(text) {
			return errMalformed
		}
		switch text[i] {
		case ',':
			i = skipSpace(text, i+1)
		case end:
			return checkEnd(text, i+1)
		default:
			return errMalformed
		}
	}
}

// checkEnd returns an error unless text ends at i.
func checkEnd(text []byte, i int) error {
	if skipSpace(text, i) < len(text) {
		return errMalformed
	}
	return nil
}

// skipSpace returns the index of the first byte at or after i that is not space.
func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\n' || text[i] == '\t' || text[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the index after the string that begins at i, or -1 if it does
// not end.
func skipString(text []byte, i int) int {
	for i++; ; i++ {
		n := bytes.IndexByte(text[i:], '"')
		if n < 0 {
			return -1
		}
		begin := i
		i += n
		escapes := 0
		for j := i - 1; j >= begin && text[j] == '\\'; j-- {
			escapes++
		}
		if escapes%2 == 0 {
			return i + 1
		}
	}
}

// skipValue returns the index after the value that begins at i, or -1 if there is
// none or it does not end.
func skipValue(text []byte, i int) int {
	begin := i
	for depth := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			if i = skipString(text, i); i < 0 {
				return -1
			}
			if depth == 0 {
				return i
			}
			i--
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
			if depth < 0 {
				return endOfScalar(begin, i)
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return endOfScalar(begin, i)
			}
		}
	}
	return -1
}

// endOfScalar returns the end of a number or a name, or -1 if it is empty.
func endOfScalar(begin, end int) int {
	if begin == end {
		return -1
	}
	return end
}
