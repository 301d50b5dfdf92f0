package entrance

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// fillMessage sets the fields of the message that is sent to gates.
func (e *Entrance) fillMessage(hr *http.Request, r *Request, body []byte) {
	message := &r.message
	message.Request, message.ConfigVersion, message.CallerService = link.EncodeText(r.ID), uint64(r.View.Version), string(e.Service)
	message.Method, message.Host, message.Target = link.EncodeText(hr.Method), link.EncodeText(hr.Host), link.EncodeText(hr.RequestURI)
	message.Body = body
	message.Idempotent, message.Inner, message.Route = r.Route.Idempotent, r.Inner, string(r.Route.Name)
	message.Headers = e.forwardedHeaders(hr.Header)
	priority := r.Route.Priority
	if r.Organisation != nil {
		message.Organisation = string(r.Organisation.ID)
		if r.Organisation.HasPriority {
			priority = r.Organisation.Priority
		}
	}
	message.Priority = uint32(max(priority, 0))
	if r.Caller.Known {
		message.Priority = r.Caller.Priority
	}
}

// forwardedHeaders returns the headers to forward, as alternating names and
// values, encoded for the message.
func (e *Entrance) forwardedHeaders(header http.Header) []string {
	var connectionOptions []string
	for _, v := range header["Connection"] {
		connectionOptions = append(connectionOptions, strings.Split(v, ",")...)
	}
	forwarded := make([]string, 0, 2*len(header))
	for name, values := range header {
		if e.droppedHeaders[name] || containsOption(connectionOptions, name) {
			continue
		}
		for _, v := range values {
			forwarded = append(forwarded, link.EncodeText(name), link.EncodeText(v))
		}
	}
	return forwarded
}

func containsOption(options []string, name string) bool {
	for _, n := range options {
		if strings.EqualFold(strings.TrimSpace(n), name) {
			return true
		}
	}
	return false
}

// withDecodedHeaders returns an outcome with the headers as the instance sent them. It leaves
// the given one as it is, which the local gate retains.
func withDecodedHeaders(outcome *linkrpc.Outcome) *linkrpc.Outcome {
	if !slices.ContainsFunc(outcome.Headers, link.IsEncodedText) {
		return outcome
	}
	headers := make([]string, len(outcome.Headers))
	for i, text := range outcome.Headers {
		headers[i] = link.DecodeText(text)
	}
	return &linkrpc.Outcome{
		Fate: outcome.Fate, Reason: outcome.Reason, Status: outcome.Status, Headers: headers, Body: outcome.Body, Load: outcome.Load,
	}
}

// writeResponse forwards an instance's response to the caller. The response to a HEAD request
// keeps the length that the instance names, as it has no body.
func (e *Entrance) writeResponse(w http.ResponseWriter, method string, r *Request, outcome *linkrpc.Outcome) {
	header := w.Header()
	isHead := method == http.MethodHead
	header["Date"] = nil
	header["Content-Type"] = nil
	for i := 0; i+1 < len(outcome.Headers); i += 2 {
		if isHead && outcome.Headers[i] == "Content-Length" {
			header["Content-Length"] = []string{outcome.Headers[i+1]}
		}
		switch outcome.Headers[i] {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection":
		default:
			header[outcome.Headers[i]] = append(header[outcome.Headers[i]], outcome.Headers[i+1])
		}
	}
	if !isHead && int(outcome.Status) != http.StatusNoContent && int(outcome.Status) != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(outcome.Body))}
	}
	w.WriteHeader(int(outcome.Status))
	responses := e.responses()
	responses.Write(w, outcome.Body, r.Expires, r.held)
}
