// Package peer carries calls between hosts over QUIC, with mutual TLS from a
// shared secret and CBOR frames, one stream for each call.
//
// A connection may go silent without an error. Idle connections are therefore
// pinged every second; one that does not answer within two seconds is closed
// and the next call opens a new one. Network is an in-memory stand-in for
// tests and simulations.
package peer
