package bundle_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/jsondoc"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

func read(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestBadBundles takes each file of testdata/bad, which differs from the good
// one in one place.
func TestBadBundles(t *testing.T) {
	cases := []struct{ name, key, text string }{
		{"unknown-key", "/organisations/0/wieght", "unknown key"},
		{"duplicate-key", "/number", "stands twice"},
		{"missing-key", "/", "missing property"},
		{"wrong-type", "/pools/0/targets/0/slots", "want integer"},
		{"syntax", "/", "invalid"},
		{"host-name", "/pools/0/targets/0/address", "pattern"},
		{"no-such-pool", "/pipelines/0/stages/0/pool", "there is no pool"},
		{"no-such-stage", "/pipelines/0/stages/1/needs/0", "there is no stage"},
		{"no-such-model", "/pools/0/model", "there is no model"},
		{"no-such-adapter", "/pipelines/0/stages/1/adapter", "has no adapter"},
		{"no-such-data-centre", "/rollout/0/dataCentres/0", "no target is in data centre"},
		{"engine-without-model", "/pools/0", "must name its model"},
		{"cycle", "/pipelines/0/stages", "cycle"},
		{"two-ends", "/pipelines/0/stages", "needed by no other"},
		{"impossible-deadline", "/pipelines/0/deadlineMs", "impossible"},
		{"retried-once-stage", "/pipelines/0/stages/0/attempts", "may not be repeated"},
		{"twice-the-same-target", "/pools/1/targets/0/name", "stands twice"},
		{"twice-the-same-address", "/pools/1/targets/0/address", "stands twice"},
		{"no-predecessor", "/previous", "must name the digest"},
		{"no-weights", "/objective", "above 0"},
		{"number-zero", "/number", "minimum"},
		{"waves-out-of-order", "/rollout/1", "may not come before"},
	}
	files, err := os.ReadDir(filepath.Join("testdata", "bad"))
	if err != nil || len(files) != len(cases) {
		t.Fatalf("%d files for %d cases: %v", len(files), len(cases), err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("It is refused by file, line and key", t, func() {
				file := filepath.Join("testdata", "bad", c.name+".hujson")
				_, err := bundle.Parse(file, read(t, filepath.Join("bad", c.name+".hujson")))
				var ps jsondoc.Problems
				convey.So(errors.As(err, &ps), convey.ShouldBeTrue)
				convey.So(ps.Error(), convey.ShouldContainSubstring, ": "+c.key)
				convey.So(ps.Error(), convey.ShouldContainSubstring, c.text)
				convey.So(ps[0].File, convey.ShouldEqual, file)
				convey.So(ps[0].Line, convey.ShouldBeGreaterThan, 0)
			})
		})
	}
}

func TestGoodBundles(t *testing.T) {
	convey.Convey("The good bundle and both examples are taken", t, func() {
		for _, text := range [][]byte{read(t, "good.hujson"), examples.Kowhai(), examples.Floraria()} {
			_, err := bundle.Parse("good", text)
			convey.So(err, convey.ShouldBeNil)
		}
	})
	convey.Convey("One over a megabyte is not", t, func() {
		_, err := bundle.Parse("large", append(read(t, "good.hujson"), []byte(strings.Repeat(" ", bundle.MaxBytes))...))
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func signer(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func trust(required int, names ...string) bundle.Trust {
	tr := bundle.Trust{Deployment: "small", Required: required, Approvers: map[string]ed25519.PublicKey{}}
	for _, name := range names {
		tr.Approvers[name] = signer(name).Public().(ed25519.PublicKey)
	}
	return tr
}

func signed(text []byte, names ...string) bundle.Signed {
	s := bundle.Signed{Text: string(text)}
	for _, name := range names {
		s = s.WithSignature(bundle.Sign(name, signer(name), text))
	}
	return s
}

func TestSignatures(t *testing.T) {
	text := read(t, "good.hujson")
	two := trust(2, "mere", "tane", "hine")
	changed := signed(text, "mere", "tane")
	changed.Text = strings.Replace(changed.Text, "1000", "2000", 1)
	oneTwice := signed(text, "mere")
	oneTwice.Signatures = append(oneTwice.Signatures, oneTwice.Signatures[0])
	other := trust(2, "mere", "tane")
	other.Deployment = "other"
	sameKey := trust(2, "mere")
	sameKey.Approvers["also-mere"] = sameKey.Approvers["mere"]
	alias := signed(text, "mere")
	alias.Signatures = append(alias.Signatures, bundle.Sign("also-mere", signer("mere"), text))
	cases := []struct {
		name  string
		trust bundle.Trust
		s     bundle.Signed
		good  bool
	}{
		{"two of three", two, signed(text, "mere", "tane"), true},
		{"three of three", two, signed(text, "mere", "tane", "hine"), true},
		{"one of three", two, signed(text, "mere"), false},
		{"one, twice", two, oneTwice, false},
		{"one key under two names", sameKey, alias, false},
		{"a stranger", two, signed(text, "mere", "rua"), false},
		{"a changed text", two, changed, false},
		{"another deployment", other, signed(text, "mere", "tane"), false},
		{"none", two, signed(text), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("The signatures are held against the trust", t, func() {
				_, err := c.trust.Verify("bundle", c.s)
				convey.So(err == nil, convey.ShouldEqual, c.good)
			})
		})
	}
}

func numbered(t *testing.T, number, deadline string) *bundle.Plan {
	text := strings.Replace(string(read(t, "good.hujson")), `"number": 2`, `"number": `+number, 1)
	p, err := bundle.Parse("numbered", []byte(strings.Replace(text, "1000", deadline, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSupersedes(t *testing.T) {
	convey.Convey("Given number 5 in force", t, func() {
		five := numbered(t, "5", "1000")
		convey.Convey("a higher number replaces it, also when numbers were missed", func() {
			newer, err := bundle.Supersedes(five, numbered(t, "9", "1000"))
			convey.So(newer, convey.ShouldBeTrue)
			convey.So(err, convey.ShouldBeNil)
		})
		convey.Convey("an older one and an equal one with other content are refused", func() {
			_, err := bundle.Supersedes(five, numbered(t, "4", "1000"))
			convey.So(errors.Is(err, bundle.ErrOlder), convey.ShouldBeTrue)
			_, err = bundle.Supersedes(five, numbered(t, "5", "2000"))
			convey.So(errors.Is(err, bundle.ErrConflict), convey.ShouldBeTrue)
		})
	})
}

func TestDiff(t *testing.T) {
	convey.Convey("A changed deadline is the one difference, named by key", t, func() {
		changes, err := bundle.Diff(numbered(t, "5", "1000").Bundle(), numbered(t, "5", "2000").Bundle())
		convey.So(err, convey.ShouldBeNil)
		convey.So(changes, convey.ShouldResemble, []bundle.Change{{Key: "/pipelines/p/deadlineMs", Before: "1000", After: "2000"}})
	})
}

// FuzzParse feeds the parser with whatever a stranger sends.
func FuzzParse(f *testing.F) {
	f.Add(string(read(f, "good.hujson")))
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		plan, err := bundle.Parse("fuzz", []byte(text))
		if err == nil && len(plan.Bundle().Pipelines) == 0 {
			t.Fatal("a bundle without pipelines was taken")
		}
	})
}
