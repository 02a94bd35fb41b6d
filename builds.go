package quetzalhook

import "time"

// Builds assigns streams to the builds of a service, so that a stream which breaks off can
// go on at the build that began it, through any host.
type Builds interface {
	// Assign returns the build at which the new stream of a request has to begin; empty
	// for any.
	Assign(service string, id RequestID) Build
	// Origin returns the build at which the stream of a request began, at most life ago;
	// empty for any. It returns false if that is not certain. An empty ID stands for any
	// stream of the service.
	Origin(service string, id RequestID, life time.Duration) (Build, bool)
	// Began records at which build a request of this host began its stream.
	Began(service string, id RequestID, b Build)
}
