package relay

import (
	"sync"

	"quetzalhook"
)

// pendingCalls holds the service calls of this host that wait for a response. If
// a service sends a response on the connection of another request, deliver
// passes it to the request that it belongs to.
type pendingCalls struct {
	mu        sync.Mutex
	responses map[quetzalhook.RequestID]chan ServiceResponse
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{responses: make(map[quetzalhook.RequestID]chan ServiceResponse)}
}

// add registers a request and returns the channel on which a response from
// another connection is delivered.
func (p *pendingCalls) add(id quetzalhook.RequestID) <-chan ServiceResponse {
	ch := make(chan ServiceResponse, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses[id] = ch
	return ch
}

func (p *pendingCalls) remove(id quetzalhook.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.responses, id)
}

// deliver passes a response to the request with the given ID. It drops the
// response if no such request is waiting.
func (p *pendingCalls) deliver(id quetzalhook.RequestID, response ServiceResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.responses[id]; ch != nil {
		select {
		case ch <- response:
		default:
		}
	}
}
