package gateway

import (
	"fmt"
	"testing"
)

func BenchmarkCheckEvents(b *testing.B) {
	var data []byte
	c := eventChecker{protocol: testProtocol{}}
	for i := 0; b.Loop(); i++ {
		data = fmt.Appendf(data[:0], "id: %d\ndata: 20.3.1.5589507b4599c01c.edirbwxqlfnttzkkvhmjz\n\n", i+1)
		if n, err := c.check(data); n != len(data) || err != nil {
			b.Fatal(n, err)
		}
	}
}
