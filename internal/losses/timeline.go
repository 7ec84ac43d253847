package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timeline counts requests a second by what became of them and why, with what happened
// to nodes. Create it with NewTimeline.
type Timeline struct {
	filter  Filter
	seconds map[int64]map[string]int
	marks   []Mark
}

// NewTimeline returns an empty timeline.
func NewTimeline(filter Filter) *Timeline {
	return &Timeline{filter: filter, seconds: map[int64]map[string]int{}}
}

// Add counts a request, when the filter takes it.
func (t *Timeline) Add(q Request) {
	if !t.filter.Takes(q) {
		return
	}
	second := q.Ended.Unix()
	if t.seconds[second] == nil {
		t.seconds[second] = map[string]int{}
	}
	t.seconds[second][bandOf(q)]++
}

// bandOf names what became of a request, with the cause where there is one.
func bandOf(q Request) string {
	if q.Outcome.lost() {
		return q.Outcome.String() + ": " + q.Cause.Name
	}
	return q.Outcome.String()
}

// AddMark notes what happened to a node.
func (t *Timeline) AddMark(m Mark) { t.marks = append(t.marks, m) }

// Series is the requests of one band, for each second from Timeline.Start on.
type Series struct {
	Name   string
	Values []float64
}

// Start returns the first second with a request; zero for none.
func (t *Timeline) Start() time.Time {
	if len(t.seconds) == 0 {
		return time.Time{}
	}
	return time.Unix(slices.Min(slices.Collect(maps.Keys(t.seconds))), 0)
}

// Series returns the bands, those in time first and then by their size, at most most of
// them: the smallest are added up in the last.
func (t *Timeline) Series(most int) []Series {
	totals := map[string]int{}
	for _, bands := range t.seconds {
		for name, n := range bands {
			totals[name] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		aFirst, bFirst := a == InTime.String(), b == InTime.String()
		if aFirst != bFirst {
			return compareBool(bFirst, aFirst)
		}
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
	var list []Series
	for i, name := range names {
		if i >= most {
			list[most-1] = Series{Name: "other", Values: added(list[most-1].Values, t.values(name))}
			continue
		}
		list = append(list, Series{Name: name, Values: t.values(name)})
	}
	return list
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// values returns how many requests of a band ended in each second.
func (t *Timeline) values(band string) []float64 {
	seconds := slices.Collect(maps.Keys(t.seconds))
	first := slices.Min(seconds)
	values := make([]float64, slices.Max(seconds)-first+1)
	for second, bands := range t.seconds {
		values[second-first] = float64(bands[band])
	}
	return values
}

func added(a, b []float64) []float64 {
	sum := slices.Clone(a)
	for i, v := range b {
		sum[i] += v
	}
	return sum
}

// MarksOf returns the seconds after Start in which something of a kind happened to
// nodes, each once; what was before the first request is left out.
func (t *Timeline) MarksOf(kind MarkKind) []float64 {
	start := t.Start()
	var seconds []float64
	for _, m := range t.marks {
		if after := m.At.Sub(start); m.Kind == kind && after >= 0 {
			seconds = append(seconds, after.Truncate(time.Second).Seconds())
		}
	}
	slices.Sort(seconds)
	return slices.Compact(seconds)
}
