package relay

import (
	"sync"

	"quetzalhook"
)

// mailbox hands an answer that came on another request's connection to the
// request that it belongs to, if that request is still waiting on this host.
type mailbox struct {
	mu      sync.Mutex
	waiting map[quetzalhook.RequestID]chan ServiceResponse
}

func newMailbox() *mailbox {
	return &mailbox{waiting: make(map[quetzalhook.RequestID]chan ServiceResponse)}
}

// open registers a request and returns where its answer is delivered.
func (m *mailbox) open(id quetzalhook.RequestID) <-chan ServiceResponse {
	ch := make(chan ServiceResponse, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[id] = ch
	return ch
}

func (m *mailbox) close(id quetzalhook.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiting, id)
}

// deliver hands an answer over; without a waiting request it is dropped.
func (m *mailbox) deliver(id quetzalhook.RequestID, answer ServiceResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ch := m.waiting[id]; ch != nil {
		select {
		case ch <- answer:
		default:
		}
	}
}
