// Package seeder puts lists into an empty store, for the demo and for tests that start a fleet. Operators use the
// commands of lovagebank instead.
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

// Lists are the texts of the operators' lists and the keys.
type Lists struct {
	Plans, Uses, Keys string
}

// Seed makes lists the first configuration in the store at a URL. It may be repeated.
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
