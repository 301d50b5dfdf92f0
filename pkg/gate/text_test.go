package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against a gate that takes the encoded texts of a call for its own: it would find no
// route in a newer configuration, and pass them on to the instance.
func TestGateDecodesTextsOfCalls(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan *http.Request, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received <- r
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: \xe91\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	g := newGate(t, &countingUpstream{})
	g.Instance.Address = listener.Addr().String()
	builder := routing.NewBuilder(2, routing.Limits{MaxBodyBytes: 1 << 20})
	builder.AddRoute(&routing.Route{Host: "h\xe9", Prefix: "/\xff/", Name: "r", AllowAnonymous: true, Targets: []routing.Target{{Service: "desk", Weight: 1}}})
	g.View = builder.Build
	run := newRun(1)
	run.ConfigVersion, run.Method = 1, http.MethodGet
	run.Request, run.Host, run.Target = link.EncodeText("\xe91"), link.EncodeText("h\xe9"), link.EncodeText("/\xff/x")
	run.Headers = []string{"Id", run.Request}
	outcome := g.Run(t.Context(), context.Background(), run)
	is.Equal(outcome.Fate, linkrpc.Fate_FATE_ANSWERED)
	headers := map[string]string{}
	for i := 0; i < len(outcome.Headers); i += 2 {
		headers[outcome.Headers[i]] += outcome.Headers[i+1]
	}
	is.Equal(headers, map[string]string{"Id": link.EncodeText("\xe91"), "Content-Length": "0"})
	got := <-received
	is.Equal(got.Host, "h\xe9")
	is.Equal(got.RequestURI, "/\xff/x")
	is.Equal(got.Header["Id"], []string{"\xe91"})
}
