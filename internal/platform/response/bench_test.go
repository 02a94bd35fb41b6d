package response

import "testing"

func BenchmarkHeader(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nQuetzalhook-Request-Id: 9c41d07be2a35f68\r\nQuetzalhook-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Quetzalhook-Server-Load: 12,3,40,100\r\nQuetzalhook-Weight-Versions: 3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var h header
		if _, err := h.check(text); err != nil {
			b.Fatal(err)
		}
	}
}
