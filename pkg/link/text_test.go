package link

import (
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against a text that is changed on its way, or that a message cannot hold.
func TestEncodedTextsDecodeToTheSameBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		text := rapid.OneOf(
			rapid.String(),
			rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }),
			rapid.Map(rapid.String(), func(s string) string { return encodedPrefix + s }),
		).Draw(rt, "text")
		encoded := EncodeText(text)
		is.True(utf8.ValidString(encoded))
		is.Equal(DecodeText(encoded), text)
		is.Equal(IsEncodedText(encoded), encoded != text)
		if utf8.ValidString(text) && (text == "" || text[0] != 0) {
			is.Equal(encoded, text)
		}
		_, err := proto.Marshal(&linkrpc.Outcome{Headers: []string{encoded}})
		is.NoErr(err)
	})
}

// Guards against bytes that a peer makes of characters which stand for no byte.
func TestTextWithCharactersOfNoByteIsNotDecoded(t *testing.T) {
	for _, text := range []string{encodedPrefix + "a\u010a", encodedPrefix + "\xff"} {
		is.New(t).Equal(DecodeText(text), text)
	}
}

// Nearly all texts are valid. Guards against a copy of each.
func TestValidTextsAreNotCopied(t *testing.T) {
	text := "text/html; charset=utf-8"
	is.New(t).Equal(testing.AllocsPerRun(100, func() { text = DecodeText(EncodeText(text)) }), 0.0)
}
