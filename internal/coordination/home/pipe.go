package home

import (
	"context"
	"io"

	"hemlockknot/internal/protocol/peerpb"
)

// Pipe is an exchange within one process, for a daemon that is both the entry and
// the home of a call. Its methods are those of the entry's end; homeEnd is the
// home's end.
type Pipe struct {
	ctx      context.Context
	cancel   context.CancelFunc
	toHome   chan *peerpb.ForwardUp
	toEntry  chan *peerpb.ForwardDown
	homeDone chan struct{} // closed when the home has served the exchange
}

// NewPipe lets the server serve an exchange in the background and returns the
// entry's end of it. The caller must call Close.
func NewPipe(ctx context.Context, server *Server) *Pipe {
	ctx, cancel := context.WithCancel(ctx)
	pipe := &Pipe{
		ctx:      ctx,
		cancel:   cancel,
		toHome:   make(chan *peerpb.ForwardUp, 1),
		toEntry:  make(chan *peerpb.ForwardDown, 1),
		homeDone: make(chan struct{}),
	}
	go func() {
		defer close(pipe.homeDone)
		_ = server.Serve(homeEnd{pipe})
	}()
	return pipe
}

// Send sends a message to the home.
func (p *Pipe) Send(message *peerpb.ForwardUp) error {
	select {
	case p.toHome <- message:
		return nil
	case <-p.homeDone:
		return io.ErrClosedPipe
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// Recv returns the next message from the home, or io.EOF after the last one.
func (p *Pipe) Recv() (*peerpb.ForwardDown, error) {
	select {
	case message := <-p.toEntry:
		return message, nil
	case <-p.homeDone:
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	}
	select {
	case message := <-p.toEntry:
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
	case h.pipe.toEntry <- message:
		return nil
	case <-h.pipe.ctx.Done():
		return h.pipe.ctx.Err()
	}
}

func (h homeEnd) Recv() (*peerpb.ForwardUp, error) {
	select {
	case message := <-h.pipe.toHome:
		return message, nil
	case <-h.pipe.ctx.Done():
		return nil, h.pipe.ctx.Err()
	}
}
