package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
)

const (
	// keyPrefix makes keys easy to find for scanners of leaked credentials.
	keyPrefix = "lvb-"
	keyBytes  = 32
)

// NewKey makes a caller's key and the hash under which it is stored.
func NewKey() (key string, hash [sha256.Size]byte) {
	random := make([]byte, keyBytes)
	// Read never returns an error; it ends the program if the system has no random numbers.
	_, _ = rand.Read(random)
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	return key, sha256.Sum256([]byte(key))
}
