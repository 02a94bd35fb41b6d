package limit

import (
	"fmt"
	"testing"
	"time"

	"quetzalhook"
)

// BenchmarkObservePeers measures the processing of one list of peers, which a
// host does for each new list, at most four times a second: 15 hosts of the cell
// report the use of all customers, the others are silent.
func BenchmarkObservePeers(b *testing.B) {
	for _, hosts := range []int{15, 300, 2800} {
		for _, customers := range []int{10, 1000, 17_000} {
			b.Run(fmt.Sprintf("hosts=%d/customers=%d", hosts, customers), func(b *testing.B) {
				l, now := New(hosts), time.Unix(1, 0)
				used := make(map[quetzalhook.CustomerID]float64, customers)
				for i := range customers {
					used[quetzalhook.CustomerID(fmt.Sprint("customer-", i))] = float64(i)
				}
				peers := make([]quetzalhook.PeerDemand, hosts)
				for i := range peers {
					peers[i] = quetzalhook.PeerDemand{Host: quetzalhook.HostID(fmt.Sprintf("host-%04d", i)), Age: time.Minute}
					if i < 15 {
						peers[i].Age, peers[i].Demand.Used = 0, used
					}
				}
				for b.Loop() {
					now = now.Add(100 * time.Millisecond)
					l.ObservePeers(now, peers)
				}
			})
		}
	}
}
