package node_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/do/v2"

	"github.com/plantainramp/plantainramp/internal/standin/logservice"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/node"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// cluster is a set of nodes in this process with a log and one upstream, which all nodes
// share.
type cluster struct {
	// settings holds the settings of each node.
	settings []*settings.Settings
	// key is the API key that fileTicket creates.
	key      string
	log      *httptest.Server
	upstream *httptest.Server
	nodes    []*node.Node
	// stopNode holds a function for each node that stops it and waits until it has
	// stopped.
	stopNode []func()
}

// nextPort is the last port given out. It starts below the ephemeral ports of the kernel
// and above those of the acceptance scenarios, at a number that depends on the process id.
var nextPort atomic.Int32

func init() { nextPort.Store(int32(28200 + os.Getpid()%40*100)) }

// freeAddress returns a loopback address with an unused port, which no outgoing
// connection takes before a node listens on it.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// newCluster starts a node for each element of services, and waits until all nodes are
// members and have applied the ticket that defines the key and the services.
func newCluster(t testing.TB, handler http.Handler, services ...string) *cluster {
	c := &cluster{
		log:      httptest.NewServer((&logservice.Service{Clock: clock.System{}}).Handler()),
		upstream: httptest.NewServer(handler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, service := range services {
		s := &settings.Settings{
			Instance: fleet.InstanceName(fmt.Sprintf("%s-%d", service, i)), Service: fleet.ServiceName(service), DataCentre: "dc1",
			CallersAddress: freeAddress(t), CallsOutAddress: freeAddress(t), PeersAddress: freeAddress(t), AdminAddress: freeAddress(t),
			UpstreamAddress: c.upstream.Listener.Addr().String(), LogURL: c.log.URL, LogRetention: time.Hour,
			PeerSecret: []byte("the secret of the test fleet"), MaxBodyBytes: 1 << 20, MaxResponseBytes: 8 << 20, MaxHeaderBytes: 32 << 10,
			DefaultDeadline: 5 * time.Second, RateLease: time.Hour, Disabled: map[settings.Mechanism]bool{},
		}
		s.AnnouncedPeersAddress = s.PeersAddress
		c.settings = append(c.settings, s)
		n := newNode(t, s)
		c.nodes = append(c.nodes, n)
		nodeCtx, cancelNode := context.WithCancel(ctx)
		stopped := make(chan struct{})
		c.stopNode = append(c.stopNode, func() {
			cancelNode()
			<-stopped
		})
		group.Go(func() {
			defer close(stopped)
			if err := n.Run(nodeCtx); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		c.upstream.Close()
		c.log.CloseClientConnections()
		c.log.Close()
	})
	c.announceUpstreams(t)
	c.fileTicket(t, services)
	return c
}

func newNode(t testing.TB, s *settings.Settings) *node.Node {
	logger, err := logs.New(os.Stderr, cmp.Or(os.Getenv("MESH_LOG_LEVEL"), "error"), logs.FormatText, string(s.Instance))
	if err != nil {
		t.Fatal(err)
	}
	injector := do.New()
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, logger)
	do.ProvideValue[clock.Clock](injector, clock.System{})
	do.ProvideNamedValue(injector, "version", "test")
	n, err := node.New(injector)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// announceUpstreams announces a serving upstream to each node.
func (c *cluster) announceUpstreams(t testing.TB) {
	for _, s := range c.settings {
		body, _ := json.Marshal(node.Announcement{State: node.UpstreamServing, Slots: 200, Started: "x"})
		eventually(t, func() bool {
			req, _ := http.NewRequest(http.MethodPut, "http://"+s.CallsOutAddress+node.AnnouncePath, bytes.NewReader(body))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusNoContent
		})
	}
}

// fileTicket files the ticket that defines the organisation, its key and the services.
func (c *cluster) fileTicket(t testing.TB, services []string) {
	key, digest := ticket.NewKey("k1")
	c.key = key
	text := "[ticket]\nnumber = 1\nauthor = a\nreason = r\n[organisation \"dakar\"]\nagainst = 0\nrate = 1000000\nburst = 1000000\n" +
		"[key \"k1\"]\nagainst = 0\norganisation = dakar\ndigest = " + string(digest) + "\n"
	added := map[string]bool{}
	for _, service := range services {
		if !added[service] {
			text += "[service \"" + service + "\"]\nagainst = 0\nroute = GET /* normal idempotent\nroute = POST /* critical\n"
		}
		added[service] = true
	}
	parsed, err := ticket.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	record, err := parsed.Record()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (&platformlog.Client{URL: c.log.URL}).Append(context.Background(), platformlog.StreamConfig, record); err != nil {
		t.Fatal(err)
	}
	for _, s := range c.settings {
		client := &adminclient.Client{URL: "http://" + s.AdminAddress}
		eventually(t, func() bool {
			objects, err := client.Objects(context.Background())
			members, membersErr := client.Members(context.Background())
			return err == nil && membersErr == nil && len(objects.Keys) == 1 && len(members) == len(services)
		})
	}
}

// eventually polls until condition returns true, and fails the test after 10 seconds.
func eventually(t testing.TB, condition func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 seconds")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get makes a call, reads the whole response, and returns its status.
func get(client *http.Client, url, key string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
