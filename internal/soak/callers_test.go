package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hemlockknot/platform/standin"
)

// request is what one caller attempt asked and got.
type request struct {
	id         string
	path, body string
	repeatable bool // it may run more than once
	stream     bool
	status     int // 0: no answer
	whole      bool
	text       string
}

// kind is a kind of request.
type kind struct {
	path       string
	repeatable bool
	stream     bool
}

var kinds = []kind{
	{"/drafts/1", true, true},
	{"/queries/1", false, true},
	{"/bookings/1", false, false},
	{"/reads/1", true, false},
}

// Callers' times.
const (
	patience = 3 * time.Second
	between  = 5 * time.Millisecond
)

// caller sends one request after another on kept connections.
type caller struct {
	number  int
	random  *rand.Rand
	daemons []*daemon
	client  *http.Client

	mu   sync.Mutex
	done []request
}

func newCaller(number int, seed uint64, daemons []*daemon) *caller {
	return &caller{
		number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), daemons: daemons,
		client: &http.Client{Transport: &http.Transport{}, Timeout: patience + time.Second},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		address := c.daemons[c.random.IntN(len(c.daemons))].address()
		if address != "" {
			c.send(address, kinds[c.random.IntN(len(kinds))], fmt.Sprintf("%d-%d", c.number, n))
		}
		time.Sleep(between)
	}
}

// send sends a request and notes what came of it.
func (c *caller) send(address string, asked kind, id string) request {
	sent := request{id: id, path: asked.path, body: "order " + id, repeatable: asked.repeatable, stream: asked.stream}
	call := standin.Call{Method: http.MethodPost, Path: asked.path, ID: id, Body: sent.body}
	if message, err := standin.NewRequest(context.Background(), address, call); err == nil {
		c.receive(&sent, message)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, sent)
	return sent
}

func (c *caller) receive(sent *request, message *http.Request) {
	response, err := c.client.Do(message)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	sent.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	sent.text, sent.whole = string(content), err == nil
}
