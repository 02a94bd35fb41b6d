package workload

import (
	"time"

	"quetzalhook"
)

// At the rates below, both workloads together use about 75% of the capacity of
// the demo's 18 engines, and more than their capacity during bursts.

// Association returns the reference workload of a balloon sellers' association
// in Slovenia.
func Association() Workload {
	return Workload{
		Name:    "association",
		Model:   "rules-7b",
		Regions: []quetzalhook.Region{"ljubljana", "maribor", "koper"},
		Latency: time.Millisecond,
		Classes: []Class{
			{
				Name: "permit-question", Tier: 0, Route: RouteChat, Rate: 12, Target: 500 * time.Millisecond,
				Prefixes: 4, PrefixTokens: 512,
				Prompt: Lengths{80, 200, 400}, Output: Lengths{30, 60, 100},
			},
			{Name: "pitch-booking", Tier: 1, Route: RouteBookings, Rate: 3, Target: time.Second, FloorShare: 0.05},
			{
				Name: "rulebook-question", Tier: 2, Route: RouteChat, Rate: 6, Target: 4 * time.Second,
				MustFinish: true, FloorShare: 0.15, Prefixes: 3, PrefixTokens: 1536,
				Prompt: Lengths{400, 1200, 3000}, Output: Lengths{200, 400, 600},
			},
			{
				Name: "daily-summary", Tier: 3, Route: RouteChat, Rate: 3, Target: 15 * time.Second,
				MustFinish: true, FloorShare: 0.1, Prefixes: 1, PrefixTokens: 256,
				Prompt: Lengths{800, 2000, 4000}, Output: Lengths{280, 500, 600},
			},
		},
		Customers: []Customer{
			{"association-fairs", 50},
			{"association-ljubljana", 6},
			{"association-maribor", 6},
			{"association-koper", 6},
			{"association-celje", 1},
			{"association-kranj", 1},
			{"association-ptuj", 1},
			{"association-bled", 1},
			{"association-piran", 1},
			{"association-izola", 1},
		},
		Bursts: []Burst{
			{Class: "permit-question", From: 0.30, To: 0.42, Factor: 3},
			{Class: "daily-summary", From: 0.60, To: 0.70, Factor: 4},
		},
	}
}

// Foundry returns the reference workload of a foundry's pattern shop in
// Ethiopia.
func Foundry() Workload {
	return Workload{
		Name:    "foundry",
		Model:   "castings-13b",
		Regions: []quetzalhook.Region{"addis", "mekelle", "hawassa"},
		Latency: 4 * time.Millisecond,
		Classes: []Class{
			{
				Name: "defect-question", Tier: 0, Route: RouteChat, Rate: 12, Target: 500 * time.Millisecond,
				Prefixes: 4, PrefixTokens: 512,
				Prompt: Lengths{80, 200, 400}, Output: Lengths{30, 60, 100},
			},
			{Name: "grate-order", Tier: 1, Route: RouteOrders, Rate: 3, Target: time.Second, FloorShare: 0.05},
			{Name: "order-status", Tier: 1, Route: RouteOrders, Rate: 1.5, Target: time.Second, StatusQuery: true},
			{
				Name: "quotation", Tier: 2, Route: RouteChat, Rate: 5, Target: 4 * time.Second,
				MustFinish: true, FloorShare: 0.15, Prefixes: 5, PrefixTokens: 768,
				Prompt: Lengths{500, 1500, 3000}, Output: Lengths{240, 450, 600},
			},
			{
				Name: "specification-review", Tier: 3, Route: RouteChat, Rate: 2.25, Target: 15 * time.Second,
				MustFinish: true, FloorShare: 0.1, Prefixes: 6, PrefixTokens: 2048,
				Prompt: Lengths{1500, 4000, 6000}, Output: Lengths{400, 800, 800},
			},
		},
		Customers: []Customer{
			{"foundry-shop", 50},
			{"foundry-sales", 6},
			{"foundry-dealer-addis", 6},
			{"foundry-dealer-mekelle", 6},
			{"foundry-shift-1", 1},
			{"foundry-shift-2", 1},
			{"foundry-shift-3", 1},
			{"foundry-clerk", 1},
			{"foundry-drawings", 1},
			{"foundry-inspection", 1},
		},
		Bursts: []Burst{
			{Class: "quotation", From: 0.35, To: 0.5, Factor: 3},
			{Class: "defect-question", From: 0.65, To: 0.75, Factor: 3},
		},
	}
}
