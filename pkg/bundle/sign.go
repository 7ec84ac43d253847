package bundle

import (
	"crypto/ed25519"
	"encoding/hex"

	"github.com/pkg/errors"
)

// signaturePrefix keeps a signature of a bundle from passing for any other.
const signaturePrefix = "honeydyke bundle v1\n"

// Signature is one approver's signature of a bundle.
type Signature struct {
	// Approver is the name of the signer.
	Approver string `json:"approver"`
	// Signature is in hexadecimal.
	Signature string `json:"signature"`
}

// Signed is a bundle's text with its signatures; it is what the configuration
// service holds.
type Signed struct {
	// Text is the bundle exactly as signed.
	Text string `json:"text"`
	// Signatures are in no order.
	Signatures []Signature `json:"signatures"`
}

// Trust says whose signatures put a bundle in force.
type Trust struct {
	// Deployment is the name that the bundle must carry.
	Deployment string
	// Required is the number of different approvers that must have signed.
	Required int
	// Approvers holds the public keys by name.
	Approvers map[string]ed25519.PublicKey
}

// Sign returns the approver's signature of text.
func Sign(approver string, key ed25519.PrivateKey, text []byte) Signature {
	sig := ed25519.Sign(key, signedBytes(text))
	return Signature{Approver: approver, Signature: hex.EncodeToString(sig)}
}

// WithSignature returns a copy with one more signature; an earlier one by the
// same approver is replaced.
func (s Signed) WithSignature(sig Signature) Signed {
	next := Signed{Text: s.Text}
	for _, old := range s.Signatures {
		if old.Approver != sig.Approver {
			next.Signatures = append(next.Signatures, old)
		}
	}
	next.Signatures = append(next.Signatures, sig)
	return next
}

// Verify checks the signatures, then reads and checks the bundle. The file name only
// serves the error.
func (t Trust) Verify(file string, s Signed) (*Plan, error) {
	if err := t.verifySignatures(s); err != nil {
		return nil, errors.Wrap(err, file)
	}
	plan, err := Parse(file, []byte(s.Text))
	if err != nil {
		return nil, err
	}
	if plan.Name() != t.Deployment {
		return nil, errors.Errorf("%s: the bundle is for %q; this deployment is %q", file, plan.Name(), t.Deployment)
	}
	return plan, nil
}

// verifySignatures checks that enough different keys signed the text. One signature
// that does not hold, or by nobody known, refuses the bundle.
func (t Trust) verifySignatures(s Signed) error {
	message := signedBytes([]byte(s.Text))
	valid := make(map[string]bool)
	for _, sig := range s.Signatures {
		key, ok := t.Approvers[sig.Approver]
		if !ok {
			return errors.Errorf("signature by %q, who is not an approver", sig.Approver)
		}
		raw, err := hex.DecodeString(sig.Signature)
		if err != nil || !ed25519.Verify(key, message, raw) {
			return errors.Errorf("the signature by %q does not match the text", sig.Approver)
		}
		valid[hex.EncodeToString(key)] = true
	}
	if len(valid) < t.Required {
		return errors.Errorf("%d approvers signed; %d are required", len(valid), t.Required)
	}
	return nil
}

// signedBytes is what an approver signs: the prefix and the digest of the text.
func signedBytes(text []byte) []byte {
	return append([]byte(signaturePrefix), Digest(text)...)
}

// ErrOlder means that a candidate has a lower number than the one in force.
var ErrOlder = errors.New("the bundle is older than the one in force")

// ErrConflict means that two different bundles carry one number.
var ErrConflict = errors.New("the bundle contradicts the one in force")

// Supersedes decides whether candidate may replace current, both verified.
// It is false without an error when they are the same bundle. A node that
// missed numbers takes the newest whole. A higher number wins even when it
// names another predecessor (see Follows): otherwise nodes that took the losing
// one of two bundles with one number could never leave it.
func Supersedes(current, candidate *Plan) (bool, error) {
	if current == nil {
		return true, nil
	}
	switch {
	case candidate.Number() < current.Number():
		return false, errors.Wrapf(ErrOlder, "number %d, in force %d", candidate.Number(), current.Number())
	case candidate.Number() == current.Number() && candidate.Digest() != current.Digest():
		return false, errors.Wrapf(ErrConflict, "number %d has two contents", current.Number())
	case candidate.Number() == current.Number():
		return false, nil
	}
	return true, nil
}

// Follows says whether candidate names current as its previous bundle.
func Follows(current, candidate *Plan) bool {
	return candidate.Number() == current.Number()+1 && candidate.bundle.Previous == current.Digest()
}
