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
		return nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "a bearer key is needed")
	}
	sum := sha256.Sum256([]byte(key))
	current := r.Current()
	account := current.Accounts[current.AccountsByKey[sum]]
	if account == nil || !holds(account, sum) {
		return nil, dragonflypass.Refuse(dragonflypass.ReasonUnauthorized, 0, "the bearer key is not known")
	}
	return account, nil
}

// holds compares the sum with the account's keys in constant time.
func holds(account *dragonflypass.ClientAccount, sum dragonflypass.Digest) bool {
	found := 0
	for _, key := range account.Keys {
		found |= subtle.ConstantTimeCompare(key[:], sum[:])
	}
	return found == 1
}
