// Package prover holds tests that check the guarantees of the product with real
// processes under faults.
package prover
