package instance

import (
	"bytes"
	"net/http"
	"strconv"
)

// encodeRequest returns the header and body of a call as one buffer.
func encodeRequest(call *Call) []byte {
	size := len(call.Method) + len(call.Target) + len(call.Host) + len(call.Body) + 64
	for _, h := range call.Headers {
		size += len(h) + 4
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	for _, s := range []string{call.Method, " ", call.Target, " HTTP/1.1\r\nHost: ", call.Host, "\r\n"} {
		b.WriteString(s)
	}
	for i := 0; i+1 < len(call.Headers); i += 2 {
		b.WriteString(call.Headers[i])
		b.WriteString(": ")
		b.WriteString(call.Headers[i+1])
		b.WriteString("\r\n")
	}
	if len(call.Body) > 0 || needsContentLength(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// needsContentLength reports whether a request without a body must say so.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
