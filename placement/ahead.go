package placement

// mayRunAhead reports whether a call may run before the requests before it on its
// connection are answered. A call that may not be repeated, or whose route is unknown,
// must not: its caller may see an earlier response and not send it.
func (p *Placer) mayRunAhead(event CallArrived) bool {
	route := p.routes.match(event.HostName, event.Path)

	return route != nil && len(route.Targets) > 0 && route.Idempotent
}
