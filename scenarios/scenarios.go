// Package scenarios holds golden files of whole sessions: each file under testdata starts a small fleet of processes
// with stand-ins around it, and reads like a user's steps.
package scenarios
