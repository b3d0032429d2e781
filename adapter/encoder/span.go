package encoder

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Duration is a time.Duration that is encoded as text, for example "450ms".
type Duration time.Duration

// MarshalText returns the duration as text.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a duration such as "450ms" or "12h".
func (s *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration such as 450ms or 12h", text)
	}
	*s = Duration(duration)
	return nil
}

// Hash is a SHA-256 digest that is encoded in hexadecimal.
type Hash dragonflypass.Digest

// MarshalText returns the hash in hexadecimal.
func (s Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText parses 64 hexadecimal digits.
func (s *Hash) UnmarshalText(text []byte) error {
	digest, err := hex.DecodeString(string(text))
	if err != nil || len(digest) != len(s) {
		return eris.New("a SHA-256 hash must have 64 hexadecimal digits")
	}
	copy(s[:], digest)
	return nil
}

// Nonce is the nonce of a claim, encoded in hexadecimal.
type Nonce dragonflypass.Nonce

// MarshalText returns the nonce in hexadecimal.
func (t Nonce) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(t[:])), nil }

// UnmarshalText parses 32 hexadecimal digits.
func (t *Nonce) UnmarshalText(text []byte) error {
	nonce, err := hex.DecodeString(string(text))
	if err != nil || len(nonce) != len(t) {
		return eris.New("the nonce of a claim must have 32 hexadecimal digits")
	}
	copy(t[:], nonce)
	return nil
}

func decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return eris.Wrap(ErrFormat, err.Error())
	}
	return nil
}
