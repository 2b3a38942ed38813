// Package matrix tests the product's guarantees: it injects every fault at every step of a request, and checks the
// outcome with an auditor that trusts no instance.
//
// The package consists of test files only: go test ./internal/matrix -run TestFaultMatrix. The rows of the matrix are
// stored in docs/FAULTS.md.
package matrix
