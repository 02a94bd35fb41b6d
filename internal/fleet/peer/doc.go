// Package peer implements calls between hosts over QUIC. Each call uses one
// stream and CBOR messages. Hosts authenticate each other by mutual TLS with
// certificates derived from a shared secret.
//
// A connection may stop delivering data without an error. A connection that has
// received no answer for a second is therefore pinged; if the ping is not
// answered within two seconds, the connection is closed and the next call opens
// a new one. Network is an in-memory replacement for tests and simulations.
package peer
