// Package authenticator finds the organisation that a caller's key stands for.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"lovagebank/configurer"
	"lovagebank/requester"
)

const (
	headerName = "Authorization"
	scheme     = "bearer"
	// longestKey bounds what is hashed.
	longestKey = 256
	// notReadyRetry is when to come back to an instance that has no configuration yet.
	notReadyRetry = 2 * time.Second
)

// Identity is who sent a request.
type Identity struct {
	organisation string
	keyID        string
}

// Organisation returns the organisation's name.
func (id Identity) Organisation() string { return id.organisation }

// KeyID returns the identifier by which operators name the key.
func (id Identity) KeyID() string { return id.keyID }

// Authenticator checks keys against the configuration in force. It may be used by many goroutines.
type Authenticator struct {
	current func() *configurer.Snapshot
}

// New makes an authenticator. current returns the configuration in force, or nil before there is one.
func New(current func() *configurer.Snapshot) *Authenticator {
	return &Authenticator{current: current}
}

// Authenticate returns whose key a request carries. The error is a *requester.Refusal, which never holds the key and
// does not tell an unknown key from one that expired or was withdrawn.
func (au *Authenticator) Authenticate(header http.Header) (Identity, error) {
	sn := au.current()
	if sn == nil {
		message := "The instance has no configuration yet."
		return Identity{}, requester.Refuse(requester.CodeStoreUnavailable, message, notReadyRetry)
	}
	secret, ok := bearer(header)
	if !ok {
		message := "One Authorization header with a Bearer key is needed."
		return Identity{}, requester.Refuse(requester.CodeUnauthorized, message, 0)
	}
	ke, ok := lookUp(sn, sha256.Sum256([]byte(secret)))
	if !ok {
		return Identity{}, requester.Refuse(requester.CodeUnauthorized, "The key is not valid.", 0)
	}
	return Identity{organisation: ke.Organisation(), keyID: ke.ID()}, nil
}

// Valid tells whether the key behind an identity is still in force, for work that outlives its first check.
func (au *Authenticator) Valid(id Identity) bool {
	sn := au.current()
	if sn == nil {
		return false
	}
	ke, ok := sn.KeyByID(id.keyID)
	return ok && ke.Organisation() == id.organisation && inForce(sn, ke)
}

// lookUp compares whole hashes in constant time. The table is addressed by a hash, so its timing tells nothing of a key.
func lookUp(sn *configurer.Snapshot, hash [sha256.Size]byte) (configurer.Key, bool) {
	ke, ok := sn.Key(hash)
	stored := ke.Hash()
	if subtle.ConstantTimeCompare(stored[:], hash[:]) != 1 {
		return configurer.Key{}, false
	}
	return ke, ok && inForce(sn, ke)
}

func inForce(sn *configurer.Snapshot, ke configurer.Key) bool {
	if _, known := sn.Organisation(ke.Organisation()); !known || ke.Withdrawn() {
		return false
	}
	return ke.Expires().IsZero() || time.Now().Before(ke.Expires())
}

// bearer returns the key of the one well-formed Authorization header.
func bearer(header http.Header) (string, bool) {
	values := header.Values(headerName)
	if len(values) != 1 {
		return "", false
	}
	word, secret, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(word, scheme) || secret == "" || len(secret) > longestKey {
		return "", false
	}
	odd := func(ch rune) bool { return ch <= ' ' || ch > '~' || ch == ',' }
	return secret, !strings.ContainsFunc(secret, odd)
}
