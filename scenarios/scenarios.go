// Package scenarios holds end-to-end tests as testscript files. Each file under testdata starts a small fleet of
// processes with stand-ins for the platform and the targets, and compares the output of a user's steps with golden
// files.
package scenarios
