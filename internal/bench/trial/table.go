package trial

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes one line for each result to w, with a header where the
// workload changes.
func WriteTable(w io.Writer, results []Result) error {
	var b strings.Builder
	workload := ""
	for _, r := range results {
		if r.Workload != workload {
			workload = r.Workload
			fmt.Fprintf(&b, "\n%s\n%-16s %-13s", workload, "row", "policy")
			for _, c := range r.Classes {
				fmt.Fprintf(&b, " %11.11s", c.Class)
			}
			fmt.Fprintf(&b, " %13s %7s %7s %7s %7s %7s %6s %6s %5s %5s\n",
				"worst-gap", "good/s", "busy/s", "wasted", "spend/M", "cheap", "over", "peak", "unfin", "viol")
		}
		mark := ""
		if r.Fits {
			mark = "*"
		}
		fmt.Fprintf(&b, "%-16s %-13s", r.Row+mark, r.Policy)
		for _, c := range r.Classes {
			fmt.Fprintf(&b, " %10.2f%%", 100*c.Attainment)
		}
		fmt.Fprintf(&b, " %13s %7.0f %7.0f %6.2f%% %7.2f %6.1f%% %5.1f%% %6.2f %5d %5d\n",
			r.formatWorstGap(), r.Goodput, r.BusyGoodput, 100*r.Wasted, r.PerMillion, 100*r.CheapShare,
			100*r.Overbooked, r.PeakOverload, r.Unfinished, r.Violations)
	}
	b.WriteString("\n* the remaining capacity is enough for the urgent requests alone; worst-gap: percentage points and number of the customer,\n" +
		"spend/M: spending for a million useful tokens, over: engine time with a queue, peak: most requests on one engine divided by its slots\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// formatWorstGap returns WorstGap and the number of the customer.
func (r Result) formatWorstGap() string {
	if r.WorstCustomer == "" {
		return "0.0"
	}
	return fmt.Sprintf("%.1f %s", r.WorstGap, strings.TrimPrefix(string(r.WorstCustomer), "customer-"))
}
