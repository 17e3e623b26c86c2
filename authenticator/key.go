package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
)

const (
	// keyPrefix lets scanners for leaked credentials recognise keys.
	keyPrefix = "lvb-"
	keyBytes  = 32
)

// NewKey returns a random key for a caller, and the SHA-256 hash under which it is stored.
func NewKey() (key string, hash [sha256.Size]byte) {
	random := make([]byte, keyBytes)
	// Read never returns an error; it crashes the program if the system provides no random numbers.
	_, _ = rand.Read(random)
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	return key, sha256.Sum256([]byte(key))
}
