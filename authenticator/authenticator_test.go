package authenticator

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/configurer"
	"lovagebank/requester"
)

func snapshot(t *testing.T, hash [32]byte, extra string) *configurer.Snapshot {
	t.Helper()
	keys := fmt.Sprintf("[key k-1]\norganisation = indus\nhash = %s\n%s\n", hex.EncodeToString(hash[:]), extra)
	plans, uses := "[organisation indus]\nplan = branch\n", "[plan branch]\nrate = 1\nburst = 1\n"
	sn, err := configurer.NewSnapshot(1, configurer.NewDocuments(plans, uses, keys))
	if err != nil {
		t.Fatal(err)
	}
	return sn
}

func TestAuthenticate(t *testing.T) {
	key, hash := NewKey()
	tests := map[string]struct {
		headers []string
		extra   string
		want    bool
	}{
		"valid key":               {headers: []string{"Bearer " + key}, want: true},
		"lower-case scheme":       {headers: []string{"bearer " + key}, want: true},
		"no header":               {},
		"two headers":             {headers: []string{"Bearer " + key, "Bearer " + key}},
		"other scheme":            {headers: []string{"Basic " + key}},
		"two keys in one header":  {headers: []string{"Bearer " + key + ", Bearer x"}},
		"two spaces after scheme": {headers: []string{"Bearer  " + key}},
		"unknown key":             {headers: []string{"Bearer " + key + "x"}},
		"prefix of a key":         {headers: []string{"Bearer " + key[:10]}},
		"withdrawn key":           {headers: []string{"Bearer " + key}, extra: "withdrawn = true"},
		"expired key":             {headers: []string{"Bearer " + key}, extra: "expires = 2001-01-01T00:00:00Z"},
		"key expires later":       {headers: []string{"Bearer " + key}, extra: "expires = 2999-01-01T00:00:00Z", want: true},
		"key of 300 bytes":        {headers: []string{"Bearer " + string(make([]byte, 300))}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sn := snapshot(t, hash, tc.extra)
			au := New(func() *configurer.Snapshot { return sn })
			id, err := au.Authenticate(http.Header{"Authorization": tc.headers})
			if tc.want != (err == nil) {
				t.Fatalf("got %v", err)
			}
			if tc.want {
				if id.Organisation() != "indus" || id.KeyID() != "k-1" || !au.Valid(id) {
					t.Errorf("identity %+v", id)
				}
				return
			}
			if rf := requester.AsRefusal(err); rf.Status() != http.StatusUnauthorized || rf.Outcome() != requester.OutcomeNotRun {
				t.Errorf("refusal %v", rf)
			}
		})
	}
}

func TestKeyIsRefusedAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key, hash := NewKey()
		sn := snapshot(t, hash, "expires = "+time.Now().Add(time.Minute).UTC().Format(time.RFC3339))
		au := New(func() *configurer.Snapshot { return sn })
		header := http.Header{"Authorization": {"Bearer " + key}}
		id, err := au.Authenticate(header)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if _, err := au.Authenticate(header); err == nil || au.Valid(id) {
			t.Error("the key works after its expiry")
		}
	})
}

func TestAuthenticateBeforeFirstConfiguration(t *testing.T) {
	au := New(func() *configurer.Snapshot { return nil })
	_, err := au.Authenticate(http.Header{"Authorization": {"Bearer x"}})
	if rf := requester.AsRefusal(err); rf.Code() != requester.CodeStoreUnavailable || rf.RetryAfter() <= 0 {
		t.Errorf("refusal %v", rf)
	}
}
