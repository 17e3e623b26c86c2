// Package model holds the specifications of the core protocols in Promela and the test that checks them with Spin.
//
// Each specification states its properties as assertions. Broken variants, switched on by a define, show that the
// checker would find a fault of that kind.
package model
