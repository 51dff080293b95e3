// Package rollout decides which share of a service's calls goes to the backend servers
// of the version that an order names, and when the order is completed or rolled back.
// A Rollout takes events in and returns actions. It holds no clock, socket, goroutine or
// lock; package placement owns one for each order and chooses the backend servers.
// Change this package to change how a bad version is recognised and how fast a good one
// takes over.
package rollout
