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
	initialTicket    = "[ticket]\nnumber = 1\nauthor = awa\nreason = start\n[service \"desk\"]\nagainst = 0\nroute = GET /* normal idempotent open\n"
	// plantainnodeSettings is the format of the settings file.
	plantainnodeSettings = "[node]\ninstance=desk-1\nservice=desk\ndataCentre=z0\nregion=r\n[listen]\ncallers=%s\ncallsOut=%s\npeers=%s\nadmin=%s\n" +
		"[upstream]\naddress=%s\n[log]\nurl=http://%s\nretention=1h\n[peers]\nsecretFile=%s\n"
)

// local returns the address of a port of the processes of these tests.
func local(offset int) string { return fmt.Sprintf("127.0.0.1:%d", plantainnodePort+offset) }

// start starts a program and returns the node that stands for its process.
func start(t *testing.T, program string, args ...string) *node {
	t.Helper()
	n := &node{name: program, logPath: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	output, err := os.Create(n.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	n.process = exec.Command(filepath.Join(binaryDir, program), args...)
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
// route that needs no key.
func startPlantainnode(t *testing.T) *node {
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
	n := start(t, "plantainnode", "--settings", settings)
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
func answersSmall() bool {
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Get("http://" + local(0) + "/desk/small")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// Guards against memory that plantainnode holds for large responses that many callers do not
// read.
func TestUnreadResponsesOfPlantainnode(t *testing.T) {
	n := startPlantainnode(t)
	crowd(t, local(0), responseCallers, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "GET /desk/large?size=%d HTTP/1.1\r\nHost: h\r\n\r\n", plantainnodeBytes)
		time.Sleep(crowdTime)
	})
	memory := n.memoryMB(t, "VmHWM:")
	t.Logf("plantainnode: peak resident memory %.1f MB", memory)
	if memory > plantainnodeMemoryMB {
		t.Errorf("resident memory reached %.1f MB, bound %d", memory, plantainnodeMemoryMB)
	}
	if !platformtest.Await(startTimeout, answersSmall) {
		t.Errorf("the node does not answer an ordinary request: %s", n.log())
	}
}
