package encoder

import (
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Span is a duration that is written as text, as in "450ms".
type Span time.Duration

// MarshalText writes the duration as text.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads a duration such as "450ms" or "12h".
func (s *Span) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration such as 450ms or 12h", text)
	}
	*s = Span(span)
	return nil
}

// Sum is a SHA-256 sum that is written in hexadecimal digits.
type Sum dragonflypass.Digest

// MarshalText writes the sum in hexadecimal digits.
func (s Sum) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText reads 64 hexadecimal digits.
func (s *Sum) UnmarshalText(text []byte) error {
	sum, err := hex.DecodeString(string(text))
	if err != nil || len(sum) != len(s) {
		return eris.New("a SHA-256 sum has 64 hexadecimal digits")
	}
	copy(s[:], sum)
	return nil
}

// Token is a nonce that is written in hexadecimal digits.
type Token dragonflypass.Nonce

// MarshalText writes the nonce in hexadecimal digits.
func (t Token) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(t[:])), nil }

// UnmarshalText reads 32 hexadecimal digits.
func (t *Token) UnmarshalText(text []byte) error {
	token, err := hex.DecodeString(string(text))
	if err != nil || len(token) != len(t) {
		return eris.New("a claim's identifier has 32 hexadecimal digits")
	}
	copy(t[:], token)
	return nil
}

func decode(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrap(ErrFormat, err.Error())
	}
	return nil
}
