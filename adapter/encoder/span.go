package encoder

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Span is a duration that is encoded as text, for example "450ms".
type Span time.Duration

// MarshalText returns the duration as text.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a duration such as "450ms" or "12h".
func (s *Span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration such as 450ms or 12h", text)
	}
	*s = Span(duration)
	return nil
}

// Sum is a SHA-256 hash that is encoded in hexadecimal.
type Sum dragonflypass.Digest

// MarshalText returns the hash in hexadecimal.
func (s Sum) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText parses 64 hexadecimal digits.
func (s *Sum) UnmarshalText(text []byte) error {
	digest, err := hex.DecodeString(string(text))
	if err != nil || len(digest) != len(s) {
		return eris.New("a SHA-256 hash must have 64 hexadecimal digits")
	}
	copy(s[:], digest)
	return nil
}

// Token is the nonce of a claim, encoded in hexadecimal.
type Token dragonflypass.Nonce

// MarshalText returns the nonce in hexadecimal.
func (t Token) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(t[:])), nil }

// UnmarshalText parses 32 hexadecimal digits.
func (t *Token) UnmarshalText(text []byte) error {
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
