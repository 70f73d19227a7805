// Package client is the Go client of the HTTP interfaces that oriolemill has for
// callers and for operators.
package client
