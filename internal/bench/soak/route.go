package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"quetzalhook"
	"quetzalhook/platform/standin"
)

// CheckRoute fails if a host handles a request as only older configurations allow: later
// than configBound after a newer one was confirmed, or after it has served a newer one. It
// runs at the service that the route had before, or on a route that was removed, or is
// refused on one that was added.
const CheckRoute Check = "config-route"

const (
	// movingRoutes is the number of routes that move between changingServices. Route i moves
	// with every 2^i-th configuration.
	movingRoutes = 3
	// addedLife is the number of configurations that have the route that one of them added.
	addedLife = 3
)

var changingServices = []string{serviceGroup, archiveGroup}

func movingPath(i int64) string { return fmt.Sprintf("/moving-%d/", i) }

// addedPath returns the path that the configuration with the given number has added.
func addedPath(number int64) string { return fmt.Sprintf("/added-%d/", number) }

func furtherPath(i int64) string { return fmt.Sprintf("/further-%d/", i) }

// serviceOf returns the service to which the configuration with the given number sends the
// requests for one of the changing paths; empty if it has no route for it.
func serviceOf(number int64, path string) string {
	kind, text, _ := strings.Cut(strings.Trim(path, "/"), "-")
	var i int64
	if _, err := fmt.Sscan(text, &i); err != nil {
		panic(fmt.Sprintf("%s is not a changing path", path))
	}
	switch {
	case kind == "moving":
		return changingServices[number>>i%2]
	case kind == "added" && i <= number && number < i+addedLife, kind == "further" && number > 1:
		return serviceGroup
	}
	return ""
}

// changingRoutes returns the routes of the configuration with the given number that other
// configurations do not have or send to another service. All but the first have a number
// of further routes.
func changingRoutes(number int64, further int) []standin.Route {
	var paths []string
	for i := range int64(movingRoutes) {
		paths = append(paths, movingPath(i))
	}
	for i := max(number-addedLife+1, 1); i <= number; i++ {
		paths = append(paths, addedPath(i))
	}
	if number > 1 {
		for i := range int64(further) {
			paths = append(paths, furtherPath(i))
		}
	}
	var routes []standin.Route
	for _, path := range paths {
		routes = append(routes, standin.Route{
			Name: strings.Trim(path, "/"), Prefix: path, Service: serviceOf(number, path), Kind: "safe", Timeout: plainTimeout, LatencyTarget: 300 * time.Millisecond, Attempts: 2, Priority: 2, Public: true,
		})
	}
	return routes
}

// probeRoute requests one of the changing routes: one that moves, one that the latest
// configurations have added or removed, or one of the further routes.
func (p *prober) probeRoute(ctx context.Context) {
	s := p.sys
	s.mu.Lock()
	number := s.config.Version
	s.mu.Unlock()
	var path string
	switch p.random.IntN(3) {
	case 0:
		path = movingPath(p.random.Int64N(movingRoutes))
	case 1:
		path = addedPath(max(number-p.random.Int64N(2*addedLife), 1))
	default:
		path = furtherPath(p.random.Int64N(int64(s.settings.Routes)))
	}
	status, _, boot := p.send(ctx, standin.Call{Method: http.MethodGet, Path: path}, "")
	if boot == p.host.starts() {
		s.checker.RouteAnswered(time.Now(), p.lastID, boot, status)
	}
}

// UpstreamAdded records the service of an upstream.
func (c *Checker) UpstreamAdded(id quetzalhook.UpstreamID, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[id] = service
}

// ConfigurationSent records that a configuration is about to be sent to the store.
func (c *Checker) ConfigurationSent(number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestSent = number
}

// RouteAnswered records the response to a request on a changing route. boot is the number
// of starts of the host's process.
func (c *Checker) RouteAnswered(now time.Time, id quetzalhook.RequestID, boot, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	for _, run := range r.runs {
		c.checkRoute(now, r, boot, c.services[run.Upstream])
	}
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if len(r.runs) == 0 {
			c.checkRoute(now, r, boot, "")
		}
	}
}

// checkRoute checks a request that a service has run, or that was refused if service is
// empty. The caller must hold c.mu.
func (c *Checker) checkRoute(now time.Time, r *request, boot int, service string) {
	outcome := "refused"
	if service != "" {
		outcome = "run by " + service
	}
	var oldest, newest int64
	for number := int64(1); number <= c.latestSent; number++ {
		if serviceOf(number, r.call.Path) == service {
			if oldest == 0 {
				oldest = number
			}
			newest = number
		}
	}
	if newest == 0 {
		c.check(CheckRoute, false, "request %s via %s for %s is %s, which no configuration allows", r.call.ID, r.host, r.call.Path, outcome)
		return
	}
	if at, ok := c.confirmed[newest+1]; ok && c.isUndisturbed(r.host, r.sent) {
		c.check(CheckRoute, r.sent.Sub(at) <= configBound, "request %s via %s for %s is %s as only configuration %d or older allows, sent %v after the next one was confirmed",
			r.call.ID, r.host, r.call.Path, outcome, newest, r.sent.Sub(at).Round(time.Millisecond))
	}
	seen := c.versions[r.host]
	c.check(CheckRoute, seen.boot != boot || newest >= seen.number || r.sent.Sub(seen.at) <= rollbackSlack, "request %s via %s for %s is %s as only configuration %d or older allows, sent %v after configuration %d was served",
		r.call.ID, r.host, r.call.Path, outcome, newest, r.sent.Sub(seen.at).Round(time.Millisecond), seen.number)
	if service != "" && (seen.boot != boot || oldest > seen.number) {
		c.versions[r.host] = version{boot: boot, number: oldest, at: now}
	}
}
