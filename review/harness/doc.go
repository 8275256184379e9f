//go:build review

// Command harness runs the review's scripted cases: it starts gateways as separate
// processes and plays the platform's store, the backend servers and the callers on
// loopback addresses.
package main
