package faker_test

import (
	"testing"

	"lovagebank/configurer"
	"lovagebank/faker"
)

func TestSampleIsValidConfiguration(t *testing.T) {
	sa := faker.NewSample(3)
	snapshot, err := configurer.NewSnapshot(1, configurer.NewDocuments(sa.Plans(), sa.Uses(), sa.Keys()))
	if err != nil {
		t.Fatal(err)
	}
	if _, found := snapshot.Adapter("indus-notes-0003"); !found {
		t.Error("adapter indus-notes-0003 is missing")
	}
}
