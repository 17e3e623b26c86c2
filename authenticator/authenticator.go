// Package authenticator maps the key of a caller to its organisation.
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
	// maxKeyBytes bounds the length of a key that is hashed.
	maxKeyBytes = 256
	// notReadyRetryAfter is the time after which a caller may retry at an instance that has no configuration yet.
	notReadyRetryAfter = 2 * time.Second
)

// Identity is the organisation that sent a request, and the key that it used.
type Identity struct {
	organisation string
	keyID        string
}

// Organisation returns the organisation's name.
func (id Identity) Organisation() string { return id.organisation }

// KeyID returns the identifier that operators use for the key.
func (id Identity) KeyID() string { return id.keyID }

// Authenticator checks keys against the configuration in force. It is safe for concurrent use.
type Authenticator struct {
	current func() *configurer.Snapshot
}

// New returns an authenticator. current returns the configuration in force, or nil before the first one.
func New(current func() *configurer.Snapshot) *Authenticator {
	return &Authenticator{current: current}
}

// Authenticate returns the identity of the key in the Authorization header. The error is a *requester.Refusal; it never
// contains the key, and is the same for an unknown, an expired and a withdrawn key.
func (au *Authenticator) Authenticate(header http.Header) (Identity, error) {
	sn := au.current()
	if sn == nil {
		message := "The instance has no configuration yet."
		return Identity{}, requester.Refuse(requester.CodeStoreUnavailable, message, notReadyRetryAfter)
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

// Valid reports whether the key of an identity is still in force. It is for work that goes on after Authenticate.
func (au *Authenticator) Valid(id Identity) bool {
	sn := au.current()
	if sn == nil {
		return false
	}
	ke, ok := sn.KeyByID(id.keyID)
	return ok && ke.Organisation() == id.organisation && inForce(sn, ke)
}

// lookUp finds the key in force with a hash. It compares whole hashes in constant time; the table is indexed by hash, so
// the timing of the lookup reveals nothing about a key.
func lookUp(sn *configurer.Snapshot, hash [sha256.Size]byte) (configurer.Key, bool) {
	ke, ok := sn.Key(hash)
	stored := ke.Hash()
	if subtle.ConstantTimeCompare(stored[:], hash[:]) != 1 {
		return configurer.Key{}, false
	}
	return ke, ok && inForce(sn, ke)
}

// inForce reports whether a key belongs to a configured organisation and is neither withdrawn nor expired.
func inForce(sn *configurer.Snapshot, ke configurer.Key) bool {
	if _, found := sn.Organisation(ke.Organisation()); !found || ke.Withdrawn() {
		return false
	}
	return ke.Expires().IsZero() || time.Now().Before(ke.Expires())
}

// bearer returns the key of a Bearer Authorization header. It rejects requests without exactly one Authorization header,
// and keys that are empty, too long, or contain a comma or anything but printable ASCII.
func bearer(header http.Header) (string, bool) {
	values := header.Values(headerName)
	if len(values) != 1 {
		return "", false
	}
	name, secret, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(name, scheme) || secret == "" || len(secret) > maxKeyBytes {
		return "", false
	}
	invalid := func(ch rune) bool { return ch <= ' ' || ch > '~' || ch == ',' }
	return secret, !strings.ContainsFunc(secret, invalid)
}
