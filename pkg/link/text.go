package link

import (
	"strings"
	"unicode/utf8"
)

// encodedPrefix begins an encoded text. No text of HTTP contains it.
const encodedPrefix = "\x00"

// EncodeText returns a text of a caller or an instance in the form that a message holds. It is
// the text itself if that is valid UTF-8, as messages require. Otherwise it is encodedPrefix
// and, for each byte, the character of the same number.
func EncodeText(text string) string {
	if utf8.ValidString(text) && !IsEncodedText(text) {
		return text
	}
	var b strings.Builder
	b.Grow(len(encodedPrefix) + utf8.RuneLen(0xff)*len(text))
	b.WriteString(encodedPrefix)
	for i := range len(text) {
		b.WriteRune(rune(text[i]))
	}
	return b.String()
}

// IsEncodedText reports whether a text of a message differs from the one that it stands for.
func IsEncodedText(text string) bool { return strings.HasPrefix(text, encodedPrefix) }

// DecodeText returns the text that EncodeText was given. A text that EncodeText does not
// return is left unchanged.
func DecodeText(text string) string {
	characters, isEncoded := strings.CutPrefix(text, encodedPrefix)
	if !isEncoded {
		return text
	}
	decoded := make([]byte, 0, len(characters))
	for _, c := range characters {
		if c > 0xff {
			return text
		}
		decoded = append(decoded, byte(c))
	}
	return string(decoded)
}
