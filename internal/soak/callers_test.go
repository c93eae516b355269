package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockknot/platform/standin"
)

// callerExchange is a request that a caller sent once, and its response.
type callerExchange struct {
	id           string
	path, body   string
	repeatable   bool // targets may run it more than once
	stream       bool
	status       int  // 0: no response
	complete     bool // the response body was read to its end
	responseBody string
	// versions are the software versions that the events of the stream name, those that the
	// caller's earlier requests for it brought included.
	versions []string
	resumes  string // id of the request that began the stream; empty if it is this one
	// receivedBefore counts the events of the stream that the caller had before, received
	// those that it has now.
	receivedBefore, received int
}

// requestKind describes the requests to one route of the stand-in's document.
type requestKind struct {
	path        string
	repeatable  bool
	stream      bool
	sharedParts string // of prompts; those of the stand-in if empty
	body        string // "order ID" if empty
}

var requestKinds = []requestKind{
	{path: "/drafts/1", repeatable: true, stream: true},
	{path: "/queries/1", stream: true},
	{path: "/bookings/1"},
	{path: "/reads/1", repeatable: true},
}

// Timing of the callers' requests.
const (
	requestDeadline = 3 * time.Second      // the deadline that standin.NewRequest sends
	requestInterval = 5 * time.Millisecond // between a caller's requests
	// maxTakeUps is how often a caller takes an interrupted stream up.
	maxTakeUps = 2
)

// caller sends one request at a time on persistent connections.
type caller struct {
	number  int
	random  *rand.Rand
	daemons []*daemon
	client  *http.Client

	mu        sync.Mutex
	exchanges []callerExchange
}

func newCaller(number int, seed uint64, daemons []*daemon) *caller {
	return &caller{
		number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), daemons: daemons,
		client: &http.Client{Transport: &http.Transport{}, Timeout: requestDeadline + time.Second},
	}
}

// run sends random requests to random daemons until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		address := c.daemons[c.random.IntN(len(c.daemons))].currentCallerAddress()
		if address != "" {
			kind := requestKinds[c.random.IntN(len(requestKinds))]
			c.takeUp(kind, c.send(address, kind, fmt.Sprintf("%d-%d", c.number, n)))
		}
		time.Sleep(requestInterval)
	}
}

// takeUp takes a stream that broke after some events up at random daemons.
func (c *caller) takeUp(kind requestKind, broken callerExchange) {
	first := broken
	for n := range maxTakeUps {
		address := c.daemons[c.random.IntN(len(c.daemons))].currentCallerAddress()
		if !kind.repeatable || broken.complete || broken.received == 0 || address == "" {
			return
		}
		next := callerExchange{
			id: fmt.Sprint(first.id, "-again-", n), path: kind.path, body: first.body, repeatable: true, stream: true,
			resumes: first.id, receivedBefore: broken.received, received: broken.received, versions: broken.versions,
		}
		c.exchange(address, &next, "")
		broken = next
	}
}

// send sends a request, and records and returns the exchange.
func (c *caller) send(address string, kind requestKind, id string) callerExchange {
	exchange := callerExchange{id: id, path: kind.path, body: "order " + id, repeatable: kind.repeatable, stream: kind.stream}
	if kind.body != "" {
		exchange.body = kind.body
	}
	c.exchange(address, &exchange, kind.sharedParts)
	return exchange
}

// exchange sends a request with shared parts of the prompt, those of the stand-in if empty,
// and records the exchange.
func (c *caller) exchange(address string, exchange *callerExchange, sharedParts string) {
	call := standin.CallerRequest{
		Method: http.MethodPost, Path: exchange.path, ID: exchange.id, Body: exchange.body, SharedParts: sharedParts,
		Resumes: exchange.resumes, LastEventID: exchange.receivedBefore,
	}
	if httpRequest, err := standin.NewRequest(context.Background(), address, call); err == nil {
		c.roundTrip(exchange, httpRequest)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, *exchange)
}

// roundTrip sends the HTTP request and stores the response in the exchange.
func (c *caller) roundTrip(exchange *callerExchange, httpRequest *http.Request) {
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	exchange.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	exchange.responseBody, exchange.complete = string(content), err == nil
	if exchange.stream && exchange.status == http.StatusOK {
		exchange.recordEvents()
	}
}

// recordEvents takes the versions out of the events that came, and counts the complete ones.
func (e *callerExchange) recordEvents() {
	const eventEnd = "\n\n"
	end := strings.LastIndex(e.responseBody, eventEnd)
	if end < 0 {
		return
	}
	whole := e.responseBody[:end+len(eventEnd)]
	_, versions := standin.SplitVersions(whole)
	e.received += strings.Count(whole, eventEnd)
	for _, version := range versions {
		if !slices.Contains(e.versions, version) {
			e.versions = append(slices.Clone(e.versions), version)
		}
	}
	e.responseBody, _ = standin.SplitVersions(e.responseBody)
}
