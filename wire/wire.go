// Package wire holds the messages that instances send to each other and the records that they keep in the
// platform's store. All types are generated from the files in wire/schema; run "go generate ./wire" after an edit.
package wire

//go:generate sh -c "cd .. && go tool -modfile=tools/go.mod buf generate"
