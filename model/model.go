// Package model holds Promela specifications of the core protocols and the test that verifies them with Spin.
//
// Each specification states its properties as assertions. Broken variants, each enabled by a preprocessor define, show
// that the verifier detects a fault of that kind.
package model
