package home

import (
	"context"
	"io"

	"hemlockknot/internal/protocol/peerpb"
)

// Pipe is an exchange within one process: the daemon is both entry and home.
// It has the entry's methods; HomeEnd returns the home's.
type Pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	up     chan *peerpb.ForwardUp
	down   chan *peerpb.ForwardDown
	ended  chan struct{} // closed when the home has finished
}

// NewPipe starts serving an exchange in the background and returns the entry's
// end of it. The caller must Close it.
func NewPipe(ctx context.Context, server *Server) *Pipe {
	ctx, cancel := context.WithCancel(ctx)
	pipe := &Pipe{
		ctx:    ctx,
		cancel: cancel,
		up:     make(chan *peerpb.ForwardUp, 1),
		down:   make(chan *peerpb.ForwardDown, 1),
		ended:  make(chan struct{}),
	}
	go func() {
		defer close(pipe.ended)
		_ = server.Serve(homeEnd{pipe})
	}()
	return pipe
}

// Send passes a message to the home.
func (p *Pipe) Send(message *peerpb.ForwardUp) error {
	select {
	case p.up <- message:
		return nil
	case <-p.ended:
		return io.ErrClosedPipe
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// Recv returns the next message of the home, or io.EOF after the last one.
func (p *Pipe) Recv() (*peerpb.ForwardDown, error) {
	select {
	case message := <-p.down:
		return message, nil
	case <-p.ended:
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
	select {
	case message := <-p.down:
		return message, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the exchange.
func (p *Pipe) Close() error {
	p.cancel()
	return nil
}

// homeEnd is the home's end of a Pipe.
type homeEnd struct{ pipe *Pipe }

func (h homeEnd) Context() context.Context { return h.pipe.ctx }

func (h homeEnd) Send(message *peerpb.ForwardDown) error {
	select {
	case h.pipe.down <- message:
		return nil
	case <-h.pipe.ctx.Done():
		return h.pipe.ctx.Err()
	}
}

func (h homeEnd) Recv() (*peerpb.ForwardUp, error) {
	select {
	case message := <-h.pipe.up:
		return message, nil
	case <-h.pipe.ctx.Done():
		return nil, h.pipe.ctx.Err()
	}
}
