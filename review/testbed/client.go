package testbed

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Ask is a request of a client.
type Ask struct {
	ID, Method, Host, Path, Key, Body string
	// TimeLimit is how long the client waits.
	TimeLimit time.Duration
}

// Answer is what the client got. Status is 0 if it got no complete answer.
type Answer struct {
	Status    int
	Bytes     int
	Signature string
}

// Send sends a request to the node on a new connection and records the answer.
func (n *Node) Send(a Ask) Answer {
	n.bed.Record("client sends %s (%s %s) to %s", a.ID, a.Method, a.Path, n.Name)
	answer, err := n.send(a)
	n.bed.Record("client gets for %s: status %d, %d bytes, signature %q (%v)", a.ID, answer.Status, answer.Bytes, answer.Signature, err)
	return answer
}

func (n *Node) send(a Ask) (Answer, error) {
	r, err := http.NewRequest(a.Method, "http://"+n.Callers+a.Path, strings.NewReader(a.Body))
	if err != nil {
		return Answer{}, err
	}
	r.Host, r.Close = a.Host, true
	r.Header.Set("Plantainramp-Request-Id", a.ID)
	r.Header.Set("Plantainramp-Deadline-Remaining", strconv.FormatInt(a.TimeLimit.Milliseconds(), 10))
	if a.Key != "" {
		r.Header.Set("Authorization", "Bearer "+a.Key)
	}
	client := http.Client{Timeout: a.TimeLimit, Transport: &http.Transport{DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Bytes: len(body), Signature: response.Header.Get("Plantainramp-Response-Signature")}
	if err != nil {
		return Answer{}, fmt.Errorf("the answer with status %d ended early: %w", response.StatusCode, err)
	}
	return answer, nil
}
