package relay

import (
	"sync"

	"quetzalhook"
)

// pendingCalls holds the service calls that wait for a response on this host.
// If a service sends a response on the connection of another request,
// pendingCalls delivers it to the request that it belongs to.
type pendingCalls struct {
	mu        sync.Mutex
	responses map[quetzalhook.RequestID]chan ServiceResponse
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{responses: make(map[quetzalhook.RequestID]chan ServiceResponse)}
}

// add registers a request and returns the channel on which a response from
// another connection is delivered.
func (m *pendingCalls) add(id quetzalhook.RequestID) <-chan ServiceResponse {
	ch := make(chan ServiceResponse, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responses[id] = ch
	return ch
}

func (m *pendingCalls) remove(id quetzalhook.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.responses, id)
}

// deliver passes a response to the request with the given ID. It drops the
// response if no such request is waiting.
func (m *pendingCalls) deliver(id quetzalhook.RequestID, answer ServiceResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ch := m.responses[id]; ch != nil {
		select {
		case ch <- answer:
		default:
		}
	}
}
