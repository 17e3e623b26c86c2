package seeder

import (
	"net/http/httptest"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/publisher"
	"lovagebank/storer"
)

// TestSeedIsRead seeds a store and reads the lists back as an instance does.
func TestSeedIsRead(t *testing.T) {
	server := httptest.NewServer(faker.NewStore(faker.StoreOptions{}))
	defer server.Close()
	sa := faker.NewSample(300)
	for range 2 {
		if err := Seed(t.Context(), server.URL, Lists{sa.Plans(), sa.Uses(), sa.Keys()}); err != nil {
			t.Fatal(err)
		}
	}
	store := storer.New(storer.Options{Address: server.URL})
	defer store.Close()
	pu := publisher.New(publisher.Options{
		Get: store.Get, Watch: store.Watch, Transact: store.Transact, WatchesStore: func() bool { return true },
	})
	go pu.Run(t.Context())
	for pu.Current() == nil {
		time.Sleep(time.Millisecond)
	}
	if count := pu.Current().AdapterCount(); count != 4*300 || pu.Revision() != 1 {
		t.Errorf("got %d adapters at revision %d", count, pu.Revision())
	}
}
