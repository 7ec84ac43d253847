// Package ticket gives the right to run a request at most once, without any
// state that instances share. A ticket is minted by, and bound to, one
// incarnation of one instance, its home. Only the home spends it, once, in its
// memory. When the home is gone, nobody can spend it any more.
//
// It owns the form of tickets and tokens (ticket.go) and the home's record of them
// (book.go). It relies on a key that all nodes of a deployment have, and on the
// home's monotonic clock alone; wall clocks that are wrong or set back change
// nothing. It does no input or output. A token under another key is ErrInvalid; a
// home that cannot record a ticket does not spend it; the reason of all this is in
// docs/decisions/0004-at-most-once.md.
package ticket

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	// serialBytes is the length of a serial before its encoding: 128 random bits,
	// so that two of one incarnation never meet.
	serialBytes = 16
	// keyBytes is the length of the deployment's ticket key: that of AES-256.
	keyBytes = 32
	// maxTokenLength bounds, in bytes, what is decoded of a caller's text.
	maxTokenLength = 2048
)

// ErrInvalid means that a token was not sealed with this deployment's key, or
// was changed.
var ErrInvalid = errors.New("the ticket is not valid")

// Ticket is the right to run one request at most once.
type Ticket struct {
	// Home is the peer address of the instance that minted it.
	Home string `json:"h"`
	// Incarnation is the incarnation of the home.
	Incarnation string `json:"i"`
	// Serial is unique within the incarnation.
	Serial string `json:"s"`
	// Organisation may use the ticket; nobody else may.
	Organisation string `json:"o"`
	// Pipeline is the only one that the ticket serves.
	Pipeline string `json:"p"`
	// BodyDigest binds the ticket to a body; empty when its first use does.
	BodyDigest string `json:"b,omitempty"`
	// ExpiresMs is the age of the incarnation at which the ticket expires, in
	// milliseconds. Only the home judges it, by its own monotonic clock, so a
	// wall clock that is wrong or set back can do no harm.
	ExpiresMs int64 `json:"e"`
}

// Expires returns the age of the home's incarnation at which the ticket expires.
func (t Ticket) Expires() time.Duration { return time.Duration(t.ExpiresMs) * time.Millisecond }

// NewSerial returns a random serial in hexadecimal.
func NewSerial() string {
	raw := make([]byte, serialBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return hex.EncodeToString(raw)
}

// BodyDigest returns the digest of a body in the form that tickets carry.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Sealer turns tickets into tokens and back.
type Sealer struct {
	aead cipher.AEAD
}

// NewSealer returns a sealer with a key of 32 bytes.
func NewSealer(key []byte) (*Sealer, error) {
	if len(key) != keyBytes {
		return nil, errors.Errorf("the ticket key has %d bytes; %d are needed", len(key), keyBytes)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, err
	}
	return &Sealer{aead: aead}, nil
}

// Seal returns the ticket's token, which shows nothing of the ticket without the key.
func (s *Sealer) Seal(t Ticket) (string, error) {
	plain, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(nil, nil, plain, nil)), nil
}

// Open returns the ticket of a token, or ErrInvalid. Which step failed is not said:
// the token is a caller's text, and its caller can do no more about it.
func (s *Sealer) Open(token string) (Ticket, error) {
	if len(token) > maxTokenLength {
		return Ticket{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return Ticket{}, ErrInvalid
	}
	plain, err := s.aead.Open(nil, nil, raw, nil)
	if err != nil {
		return Ticket{}, ErrInvalid
	}
	var t Ticket
	if err := json.Unmarshal(plain, &t); err != nil {
		return Ticket{}, ErrInvalid
	}
	return t, nil
}
