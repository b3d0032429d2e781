package responder

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/dragonflypass/dragonflypass"
)

// authenticate returns the client account of the request's bearer key.
func (r *Responder) authenticate(request *http.Request) (*dragonflypass.ClientAccount, *dragonflypass.Refusal) {
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "the request has no bearer key")
	}
	keyHash := sha256.Sum256([]byte(key))
	current := r.Current()
	account := current.Accounts[current.AccountsByKey[keyHash]]
	if account == nil || !hasKey(account, keyHash) {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "unknown bearer key")
	}
	return account, nil
}

// hasKey reports whether the hash is that of one of the account's keys; it compares in constant time.
func hasKey(account *dragonflypass.ClientAccount, keyHash dragonflypass.Digest) bool {
	matches := 0
	for _, key := range account.Keys {
		matches |= subtle.ConstantTimeCompare(key[:], keyHash[:])
	}
	return matches == 1
}
