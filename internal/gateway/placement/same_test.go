package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// drawTargets returns targets in any state, some without reported slots.
func drawTargets(t *rapid.T, now time.Time) []directory.Target {
	var list []directory.Target
	for i := range rapid.IntRange(0, 7).Draw(t, "targets") {
		list = append(list, directory.Target{
			ID: fmt.Sprint("t", i), Service: "s", DataCentre: rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "dc"),
			Slots:    rapid.SampledFrom([]int{0, 1, 8, 64}).Draw(t, "slots"),
			State:    rapid.SampledFrom([]directory.State{0, 0, 0, 0, 1, 2}).Draw(t, "state"),
			LapsesAt: now.Add(ms(t, -500, 3000)),
		})
	}
	return list
}

func ms(t *rapid.T, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least*1000, most*1000).Draw(t, "us")) * time.Microsecond
}

func drawBytes(t *rapid.T) map[string]int64 {
	bytes := map[string]int64{}
	for _, dc := range []string{"d0", "d1", "d2"} {
		if rapid.Bool().Draw(t, "holds") {
			bytes[dc] = rapid.Int64Range(0, 40_000_000).Draw(t, "bytes")
		}
	}
	return bytes
}

func drawExcluded(t *rapid.T) []string {
	return rapid.SliceOfN(rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}), 0, 3).Draw(t, "exclude")
}

// TestSameDecisions plays the same calls to the code before and after.
func TestSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		was, is := NewTargetTable(), placement.NewTargetTable()
		targets := drawTargets(t, now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(ms(t, 0, rapid.SampledFrom([]int{0, 50, 3000}).Draw(t, "pause")))
			id := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "id"))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				was.Sent(id)
				is.Sent(id)
			case 2, 3:
				took, failed := ms(t, 0, 2000), rapid.Bool().Draw(t, "failed")
				was.Ended(now, id, took, failed)
				is.Ended(now, id, took, failed)
			case 4:
				was.Eject(now, id)
				is.Eject(now, id)
			case 5:
				l := Load{rapid.IntRange(0, 70).Draw(t, "r"), rapid.IntRange(0, 40).Draw(t, "w"), rapid.SampledFrom([]int{0, 8}).Draw(t, "s")}
				was.Report(now, id, l)
				is.Report(now, id, placement.Load(l))
			case 6:
				d := directory.New(targets...)
				was.Prune(d)
				is.Prune(d)
			case 7:
				targets = drawTargets(t, now)
			}
			sameChoice(t, now, targets, was, is)
		}
	})
}

func sameChoice(t *rapid.T, now time.Time, targets []directory.Target, was *TargetTable, is *placement.TargetTable) {
	q := Query{
		DataCentre: rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "own"), Exclude: drawExcluded(t),
		Key: rapid.SampledFrom([]uint64{0, 1, 7, math.MaxUint64}).Draw(t, "key"), SharedTokens: rapid.IntRange(0, 20000).Draw(t, "shared"),
		MaxInflight: rapid.IntRange(0, 3).Draw(t, "max"), InputBytes: drawBytes(t),
	}
	a, aok := was.LeastLoaded(now, targets, q)
	b, bok := is.LeastLoaded(now, targets, placement.Query(q))
	if a != b || aok != bok {
		t.Fatalf("LeastLoaded: %v %v, before %v %v", b, bok, a, aok)
	}
	a, aok = was.ByPrefix(now, targets, q)
	b, bok = is.ByPrefix(now, targets, placement.Query(q))
	if a != b || aok != bok {
		t.Fatalf("ByPrefix: %v %v, before %v %v", b, bok, a, aok)
	}
	if x, y := was.Ejected(now, targets), is.Ejected(now, targets); !slices.Equal(x, y) {
		t.Fatalf("Ejected: %v, before %v", y, x)
	}
	if was.Inflight("t0") != is.Inflight("t0") {
		t.Fatal("Inflight")
	}
}

// TestSamePlaces plays the same prompts to the code before and after.
func TestSamePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		was, is := NewEngineChooser(), placement.NewEngineChooser()
		targets := drawTargets(t, now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(ms(t, 0, rapid.SampledFrom([]int{0, 50, 3000, 40000}).Draw(t, "pause")))
			request := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				whole := rapid.Bool().Draw(t, "whole")
				was.Prefilled(now, request, whole)
				is.Prefilled(now, request, whole)
			case 3:
				d := directory.New(targets...)
				was.Prune(d)
				is.Prune(d)
			case 4:
				targets = drawTargets(t, now)
			default:
				q := Prompt{
					Request: request, Key: rapid.SampledFrom([]uint64{0, 1, 7, math.MaxUint64}).Draw(t, "key"),
					SharedTokens: rapid.IntRange(0, 20000).Draw(t, "shared"), Tokens: rapid.IntRange(0, 30000).Draw(t, "tokens"),
					Slack: ms(t, -200, 2500), Exclude: drawExcluded(t), InputBytes: drawBytes(t),
				}
				a, aok := was.Place(now, targets, q)
				b, bok := is.Place(now, targets, placement.Prompt(q))
				if a != b || aok != bok {
					t.Fatalf("Place: %v %v, before %v %v", b, bok, a, aok)
				}
			}
		}
	})
}

// TestSameCoordinator compares the coordinators of any names and members.
func TestSameCoordinator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.String().Draw(t, "name")
		members := rapid.SliceOfN(rapid.String(), 0, 20).Draw(t, "members")
		if a, b := Coordinator(name, members), placement.Coordinator(name, members); a != b {
			t.Fatalf("%q, before %q", b, a)
		}
	})
}
