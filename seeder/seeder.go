// Package seeder writes an initial configuration to an empty store, for the demo and for tests that start a fleet of
// instances. Operators use the lovagebank commands instead.
package seeder

import (
	"context"

	"lovagebank/auditor"
	"lovagebank/configurer"
	"lovagebank/publisher"
	"lovagebank/storer"
)

const (
	changeID = "seed"
	author   = "seeder"
)

// Lists holds the texts of the operators' two lists and of the keys document.
type Lists struct {
	Plans, Uses, Keys string
}

// Seed writes lists as the first configuration to the store at a URL. It may be called repeatedly with the same lists.
// It returns the error of the proposed change.
func Seed(ctx context.Context, storeURL string, lists Lists) error {
	store := storer.New(storer.Options{Address: storeURL})
	defer store.Close()
	au := auditor.New(auditor.Options{Get: store.Get, Transact: store.Transact})
	pu := publisher.New(publisher.Options{Get: store.Get, Watch: store.Watch, Transact: store.Transact, AuditStep: au.AppendStep})
	_, err := pu.Propose(ctx, publisher.Change{
		ID: changeID, Author: author, Kind: publisher.KindUses, Texts: []publisher.Text{
			{Name: configurer.DocumentPlans, Text: lists.Plans},
			{Name: configurer.DocumentUses, Text: lists.Uses},
			{Name: configurer.DocumentKeys, Text: lists.Keys},
		},
	})
	return err
}
