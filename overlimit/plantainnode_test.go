package overlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// plantainnodeMemoryMB is the memory that a plantainnode may take. Its settings do not
	// state it.
	plantainnodeMemoryMB = 128
	// plantainnodeBytes is the size of a large response: as much as the stand-in of an
	// upstream gives, and half of what the settings allow.
	plantainnodeBytes = 4 << 20
	// plantainnodePort is the first port of the processes of these tests.
	plantainnodePort = firstPort + 100
	initialTicket    = "[ticket]\nnumber = 1\nauthor = awa\nreason = start\n[service \"desk\"]\nagainst = 0\nroute = GET /* normal idempotent open\nroute = POST /* normal idempotent open\n"
	// plantainnodeSettings is the format of the settings file.
	plantainnodeSettings = "[node]\ninstance=desk-1\nservice=desk\ndataCentre=z0\nregion=r\n[listen]\ncallers=%s\ncallsOut=%s\npeers=%s\nadmin=%s\n" +
		"[upstream]\naddress=%s\n[log]\nurl=http://%s\nretention=1h\n[peers]\nsecretFile=%s\n"
	// plantainnodeDescriptors is the limit of descriptors of the processes that have one.
	plantainnodeDescriptors = 256
	// bodyBytes is nearly the largest body that the settings allow.
	bodyBytes = 1<<20 - 1
	// unreadCallers is the size of the crowd that leaves small responses unread, each
	// smallUnread of smallUnreadBytes, for unreadTime, and plantainnodeHeadCallers that of the one that sends
	// heads.
	unreadCallers           = 6000
	smallUnread             = 8
	smallUnreadBytes        = 31_000
	unreadTime              = 10 * time.Second
	plantainnodeHeadCallers = 3000
)

// local returns the address of a port of the processes of these tests.
func local(offset int) string { return fmt.Sprintf("127.0.0.1:%d", plantainnodePort+offset) }

// start starts a program and returns the node that stands for its process.
func start(t *testing.T, program string, args ...string) *node {
	t.Helper()
	return startLimited(t, 0, program, args...)
}

// startLimited is start with a limit of descriptors; 0 means that of the test.
func startLimited(t *testing.T, descriptors int, program string, args ...string) *node {
	t.Helper()
	n := &node{name: program, logPath: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	output, err := os.Create(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	n.process = exec.Command(filepath.Join(binaryDir, program), args...)
	if descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors)
		n.process = exec.Command("sh", append([]string{"-c", script, filepath.Join(binaryDir, program)}, args...)...)
	}
	n.process.Stdout, n.process.Stderr = output, output
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.process.Process.Kill()
		<-n.exited
	})
	return n
}

// startPlantainnode starts a log, and a plantainnode with its upstream, whose service has one
// route that needs no key. descriptors limits those of the node; 0 means as many as the test has.
func startPlantainnode(t *testing.T, descriptors int) *node {
	t.Helper()
	folder := t.TempDir()
	secret, settings := filepath.Join(folder, "secret"), filepath.Join(folder, "node.ini")
	if err := os.WriteFile(secret, []byte("the secret of the test fleet"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(plantainnodeSettings, local(0), local(1), local(2), local(3), local(4), local(5), secret)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start(t, "standin", "--listen", local(5), "log")
	n := startLimited(t, descriptors, "plantainnode", "--settings", settings)
	start(t, "standin", "--listen", local(4), "upstream", "--name", "desk-1", "--node", "http://"+local(1), "--slots", "500")
	filed := platformtest.Await(startTimeout, func() bool {
		command := exec.Command(filepath.Join(binaryDir, "plantainramp"), "ticket", "file", "-")
		command.Stdin = strings.NewReader(initialTicket)
		command.Env = []string{"PLANTAINRAMP_LOG=http://" + local(5), "PLANTAINRAMP_NODE=http://" + local(3)}
		return command.Run() == nil
	})
	if !filed || !platformtest.Await(startTimeout, answersSmall) {
		t.Fatalf("plantainnode does not answer: %s", n.log())
	}
	return n
}

// answersSmall reports whether the node answers an ordinary request.
func answersSmall() bool { return answersSmallWithin(5 * time.Second) }

// answersSmallWithin is answersSmall, but waits for up to patience.
func answersSmallWithin(patience time.Duration) bool {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + local(0) + "/desk/small")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// checkPlantainnode fails the test unless the node lives, has stayed within its memory and
// answers an ordinary request.
func checkPlantainnode(t *testing.T, n *node) {
	t.Helper()
	select {
	case <-n.exited:
		t.Fatalf("plantainnode has ended: %s", n.log())
	default:
	}
	memory := n.memoryMB(t, "VmHWM:")
	t.Logf("plantainnode: peak resident memory %.1f MB", memory)
	if memory > plantainnodeMemoryMB {
		t.Errorf("resident memory reached %.1f MB, bound %d", memory, plantainnodeMemoryMB)
	}
	if !platformtest.Await(startTimeout, answersSmall) {
		t.Errorf("the node does not answer an ordinary request: %s", n.log())
	}
}

// Guards against memory that plantainnode holds for large responses that many callers do not
// read.
func TestUnreadResponsesOfPlantainnode(t *testing.T) {
	n := startPlantainnode(t, 0)
	crowd(t, local(0), responseCallers, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "GET /desk/large?size=%d HTTP/1.1\r\nHost: h\r\n\r\n", plantainnodeBytes)
		time.Sleep(crowdTime)
	})
	checkPlantainnode(t, n)
}

// Guards against memory that plantainnode holds for small responses that very many callers do
// not read, each of which is too small to be counted.
func TestUnreadSmallResponsesOfPlantainnode(t *testing.T) {
	n := startPlantainnode(t, 0)
	request := fmt.Sprintf("GET /desk/small?size=%d HTTP/1.1\r\nHost: h\r\n\r\n", smallUnreadBytes)
	crowdFor(t, local(0), unreadCallers, unreadTime, func(conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat(request, smallUnread))
		time.Sleep(unreadTime)
	})
	checkPlantainnode(t, n)
}

// Guards against memory that plantainnode holds for heads that do not end, within the limit of
// each one.
func TestHeadsWithoutEndOfPlantainnode(t *testing.T) {
	n := startPlantainnode(t, 0)
	crowd(t, local(0), plantainnodeHeadCallers, func(conn net.Conn) {
		drip(conn, "GET /desk/small HTTP/1.1\r\nHost: h\r\n"+padding(30_000), "X: x\r\n")
	})
	checkPlantainnode(t, n)
}

// Guards against memory that plantainnode holds for bodies that do not end, within the limit of
// each one.
func TestBodiesWithoutEndOfPlantainnode(t *testing.T) {
	n := startPlantainnode(t, 0)
	body := strings.Repeat("b", bodyBytes-1)
	crowd(t, local(0), responseCallers, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST /desk/small HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body)
		time.Sleep(crowdTime)
	})
	checkPlantainnode(t, n)
}

// Guards against ordinary callers of plantainnode that get no answer while others, more than it
// has descriptors for, keep their connections.
func TestOrdinaryCallerBesideCrowdOfPlantainnode(t *testing.T) {
	cases := []struct {
		name string
		act  func(net.Conn)
	}{
		{"sends nothing", stayUntilClosed},
		{"sends a head slowly", func(conn net.Conn) { drip(conn, "GET /desk/small HTTP/1.1\r\nHost: h\r\n", "X: x\r\n") }},
		{"sends a body slowly", func(conn net.Conn) {
			drip(conn, "POST /desk/small HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\nPlantainramp-Deadline-Ms: 20000\r\n\r\n", "b")
		}},
		{"reads nothing", func(conn net.Conn) {
			request := fmt.Sprintf("GET /desk/large?size=%d HTTP/1.1\r\nHost: h\r\n\r\n", largeBytes/8)
			_, _ = io.WriteString(conn, strings.Repeat(request, 8*besideResponses))
			stayUntilClosed(conn)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startPlantainnode(t, plantainnodeDescriptors)
			occupy(t, local(0), readingCallers*2, c.act)
			time.Sleep(settlingTime)
			if !answersSmallWithin(ordinaryPatience) {
				t.Error("an ordinary request beside the crowd was not answered")
			}
			checkPlantainnode(t, n)
		})
	}
}

// Guards against a plantainnode that has no descriptors left, as the listeners that are not for
// callers are full of connections that send nothing, and against listeners that then serve nobody.
func TestCrowdAtOtherListenersOfPlantainnode(t *testing.T) {
	for name, offset := range map[string]int{"callsOut": 1, "peers": 2, "admin": 3} {
		t.Run(name, func(t *testing.T) {
			n := startPlantainnode(t, plantainnodeDescriptors)
			occupy(t, local(offset), readingCallers*2, stayUntilClosed)
			time.Sleep(settlingTime)
			if !answersSmallWithin(ordinaryPatience) {
				t.Error("an ordinary request beside the crowd was not answered")
			}
			client := http.Client{Timeout: ordinaryPatience}
			response, err := client.Get("http://" + local(offset) + "/")
			if err != nil {
				t.Errorf("the port is not served beside the crowd: %v", err)
			} else {
				_ = response.Body.Close()
			}
			checkPlantainnode(t, n)
		})
	}
}
