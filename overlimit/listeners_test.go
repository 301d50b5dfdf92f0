package overlimit

import (
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// heartbeatPort, readinessPort and peerPort are the offsets of the ports of a node other
	// than that for callers.
	heartbeatPort = 1
	readinessPort = 2
	peerPort      = 3
	// foreignClients is the size of the crowds that connect to the port for other nodes.
	foreignClients = 400
	// announcedBytes is the length of the message that one of them announces there, and
	// sentBytes how much of it arrives.
	announcedBytes = 64 << 20
	sentBytes      = 1 << 20
)

// Guards against nodes that take part in nothing any more, as callers that are none fill the
// listeners that are not for callers.
func TestCrowdAtListenersForThePlatform(t *testing.T) {
	for name, offset := range map[string]int{"heartbeats": heartbeatPort, "readiness": readinessPort} {
		t.Run(name, func(t *testing.T) {
			nodes := newClusterWith(t, resources{memoryMB: memoryMB, descriptors: maxDescriptors}, "desk")
			n := nodes.nodes[0]
			occupy(t, n.address(offset), sendingCallers, stayUntilClosed)
			time.Sleep(settlingTime)
			client := http.Client{Timeout: ordinaryPatience}
			response, err := client.Get("http://" + n.address(offset) + "/")
			if err != nil {
				t.Errorf("the port is not served beside the crowd: %v", err)
			} else {
				_ = response.Body.Close()
			}
			nodes.check()
		})
	}
}

// Guards against descriptors and memory held for connections to the port for other nodes that
// come from no node.
func TestForeignClientsAtPeerPort(t *testing.T) {
	header := binary.BigEndian.AppendUint32(nil, announcedBytes)
	header = append(header, 1, 0, 0, 0, 0)
	cases := []struct {
		name string
		act  func(net.Conn)
	}{
		{"send nothing", stayUntilClosed},
		{"send an HTTP request", func(conn net.Conn) {
			_, _ = io.WriteString(conn, requestHead("/small/x")+"\r\n")
			stayUntilClosed(conn)
		}},
		{"announce a long message", func(conn net.Conn) {
			_, _ = conn.Write(header)
			_, _ = io.WriteString(conn, strings.Repeat("m", sentBytes))
			stayUntilClosed(conn)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := newClusterWith(t, resources{memoryMB: memoryMB, descriptors: besideDescriptors}, "showcase", "desk")
			occupy(t, nodes.nodes[1].address(peerPort), foreignClients, c.act)
			time.Sleep(settlingTime)
			nodes.check()
		})
	}
}
