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

func snapshot(t *testing.T, hash [32]byte, more string) *configurer.Snapshot {
	t.Helper()
	keys := fmt.Sprintf("[key k-1]\norganisation = indus\nhash = %s\n%s\n", hex.EncodeToString(hash[:]), more)
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
		more    string
		want    bool
	}{
		"good":            {headers: []string{"Bearer " + key}, want: true},
		"case of scheme":  {headers: []string{"bearer " + key}, want: true},
		"none":            {},
		"two":             {headers: []string{"Bearer " + key, "Bearer " + key}},
		"other scheme":    {headers: []string{"Basic " + key}},
		"two in one":      {headers: []string{"Bearer " + key + ", Bearer x"}},
		"two spaces":      {headers: []string{"Bearer  " + key}},
		"unknown":         {headers: []string{"Bearer " + key + "x"}},
		"start of a key":  {headers: []string{"Bearer " + key[:10]}},
		"withdrawn":       {headers: []string{"Bearer " + key}, more: "withdrawn = true"},
		"expired":         {headers: []string{"Bearer " + key}, more: "expires = 2001-01-01T00:00:00Z"},
		"expires later":   {headers: []string{"Bearer " + key}, more: "expires = 2999-01-01T00:00:00Z", want: true},
		"beyond a header": {headers: []string{"Bearer " + string(make([]byte, 300))}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sn := snapshot(t, hash, tc.more)
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

func TestKeyExpiresWhileInUse(t *testing.T) {
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

func TestNoConfigurationYet(t *testing.T) {
	au := New(func() *configurer.Snapshot { return nil })
	_, err := au.Authenticate(http.Header{"Authorization": {"Bearer x"}})
	if rf := requester.AsRefusal(err); rf.Code() != requester.CodeStoreUnavailable || rf.RetryAfter() <= 0 {
		t.Errorf("refusal %v", rf)
	}
}
