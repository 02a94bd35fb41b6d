package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"quetzalhook/internal/state/invariant"
)

// WriteTable writes the measures to w as text tables.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tserved\tin target\tattainment\trefused\tttft p50 ms\tttft p95 ms\t")
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f%%\t%d\t%.1f\t%.1f\t\n",
			name, c.Sent, c.Served, c.InTarget, 100*c.Attainment, c.Refused, c.P50, c.P95)
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t\t\t")
	fmt.Fprintln(t, "customer\tsent\tattainment\tbelow class mean\t")
	for _, name := range sortedKeys(r.Customers) {
		c := r.Customers[name]
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%.1f\t\n", name, c.Sent, 100*c.Attainment, 100*c.Gap)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeTotals(w)
}

func (r Report) writeTotals(w io.Writer) error {
	fmt.Fprintf(w, "\nworst customer %.1f%%  goodput %d tokens  served %d  wasted %d (%.2f%%)  spending %.4f  cheap share %.1f%%\n",
		100*r.WorstAttainment, r.GoodputTokens, r.ServedTokens, r.WastedTokens, 100*r.wastedFraction(), r.Spending, 100*r.CheapShare)
	fmt.Fprintf(w, "orders: sent %d  run %d  run twice %d  unknown %d\n",
		r.Orders.Sent, r.Orders.Run, r.Orders.RunTwice, r.Orders.Unknown)
	fmt.Fprintf(w, "billed %d tokens  more than received %d\n\n", r.BilledTokens, r.OverbilledTokens)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "invariant\tchecked\tviolated\t")
	for _, name := range sortedKeys(r.Violations) {
		fmt.Fprintf(t, "%s\t%d\t%d\t\n", name, r.Checks[name], r.Violations[name])
	}
	return t.Flush()
}

// wastedFraction returns the wasted tokens as a fraction of all generated tokens.
func (r Report) wastedFraction() float64 {
	if total := r.ServedTokens + r.WastedTokens; total > 0 {
		return float64(r.WastedTokens) / float64(total)
	}
	return 0
}

// WriteJSON writes the measures to w as a JSON object on one line.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// AddCounts adds the counts of an invariant registry.
func (r Report) AddCounts(counts []invariant.Count) {
	for _, c := range counts {
		r.Checks[c.Name] += c.Checked
		r.Violations[c.Name] += c.Violated
	}
}

// TotalViolations returns the number of violations of all invariants.
func (r Report) TotalViolations() int64 {
	var n int64
	for _, v := range r.Violations {
		n += v
	}
	return n
}
