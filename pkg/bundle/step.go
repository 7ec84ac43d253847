package bundle

import (
	"github.com/aymanbagabas/go-udiff"
	"github.com/pkg/errors"
)

const (
	// maxApplyBytes bounds the earlier text and the new lines of a step together, so
	// that a peer cannot make a node build more than two texts of the largest size.
	maxApplyBytes = 2 * MaxBytes
	// stepGain is how many times smaller than the whole text the new lines of a step must
	// be for the step to be sent. Steps take 1,428 bytes a change at any size of bundle.
	stepGain = 2
)

// Step leads from the text of one signed bundle to that of a later one. It
// carries the later one's signatures and needs none of its own: its result is
// verified like any other text, and no signature fits the result of a wrong step.
type Step struct {
	// From is the digest of the text that the step starts from.
	From string `json:"from"`
	// Edits are in the order of their offsets and do not overlap.
	Edits []Edit `json:"edits"`
	// Signatures are those of the later bundle.
	Signatures []Signature `json:"signatures"`
}

// Edit replaces the bytes from Start up to End of the earlier text by New.
type Edit struct {
	Start int    `json:"start"`
	End   int    `json:"end"`
	New   string `json:"new"`
}

// NewStep returns the step between two bundles, in whole lines.
func NewStep(from, to Signed) Step {
	step := Step{From: Digest([]byte(from.Text)), Signatures: to.Signatures}
	for _, e := range udiff.Lines(from.Text, to.Text) {
		step.Edits = append(step.Edits, Edit(e))
	}
	return step
}

// size returns the bytes of the new lines, most of what the step takes.
func (s Step) size() int {
	n := 0
	for _, e := range s.Edits {
		n += len(e.New)
	}
	return n
}

// Apply returns the later bundle, not verified. It is an error when the step starts
// from another text, does not fit it, or gives too large a one.
func (s Step) Apply(from Signed) (Signed, error) {
	if Digest([]byte(from.Text)) != s.From {
		return Signed{}, errors.New("the step starts from another bundle")
	}
	if len(from.Text)+s.size() > maxApplyBytes {
		return Signed{}, errors.Errorf("the step makes a bundle of more than %d bytes", MaxBytes)
	}
	edits := make([]udiff.Edit, 0, len(s.Edits))
	for _, e := range s.Edits {
		edits = append(edits, udiff.Edit(e))
	}
	text, err := udiff.Apply(from.Text, edits)
	if err != nil {
		return Signed{}, errors.Wrap(err, "the step does not fit the bundle that it starts from")
	}
	return Signed{Text: text, Signatures: s.Signatures}, nil
}

// Transfer is what one node sends another: a step where it knows the text that the
// other has, else the whole.
type Transfer struct {
	Step  *Step   `json:"step,omitempty"`
	Whole *Signed `json:"whole,omitempty"`
}

// Apply returns the bundle that the transfer leads to.
func (t Transfer) Apply(own Signed) (Signed, error) {
	switch {
	case t.Step != nil:
		return t.Step.Apply(own)
	case t.Whole != nil:
		return *t.Whole, nil
	}
	return Signed{}, errors.New("the transfer holds nothing")
}

// historyLength is how many texts a History keeps: enough for nodes that are a few
// changes behind. They take 8 MB at most.
const historyLength = 8

// History holds the newest texts, the newest last. It is immutable.
type History struct {
	texts   []Signed
	digests []string
}

// With returns a history with one more text.
func (h History) With(s Signed) History {
	keep := max(0, len(h.texts)+1-historyLength)
	return History{
		texts:   append(append([]Signed{}, h.texts[keep:]...), s),
		digests: append(append([]string{}, h.digests[keep:]...), Digest([]byte(s.Text))),
	}
}

// Newest returns the newest text; empty for an empty history.
func (h History) Newest() Signed {
	if len(h.texts) == 0 {
		return Signed{}
	}
	return h.texts[len(h.texts)-1]
}

// Transfer returns what leads a node that has the text with the digest to the
// newest.
func (h History) Transfer(digest string) Transfer {
	newest := h.Newest()
	for i, d := range h.digests {
		if d != digest {
			continue
		}
		if step := NewStep(h.texts[i], newest); step.size() < len(newest.Text)/stepGain {
			return Transfer{Step: &step}
		}
	}
	return Transfer{Whole: &newest}
}
