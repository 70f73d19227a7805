// Package server holds the interfaces and shared types of the serving system.
//
// Each package below it implements one of them. Decisions (pick, admit, limit,
// retry, claim, plan) are functions of a snapshot, a time and a random source
// and perform no I/O.
package server
