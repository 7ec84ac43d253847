package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

func prompt(request string, key uint64) placement.Prompt {
	return placement.Prompt{Request: request, Shared: []placement.SharedPart{{Key: key, Tokens: 5000}}, Tokens: 12000, Slack: time.Second}
}

func TestPrompts(t *testing.T) {
	convey.Convey("A session stays at its engine while that is in time", t, func() {
		p := placement.NewEngineChooser()
		first, _ := p.Place(now, engines(9), prompt("a", 7))
		p.RecordPrefill(now, "a", true)
		second, _ := p.Place(now, engines(9), prompt("b", 7))
		convey.So(second.ID, convey.ShouldEqual, first.ID)
	})
	convey.Convey("Long prompts that would be late behind others go elsewhere", t, func() {
		p := placement.NewEngineChooser()
		used := map[string]int{}
		for i := range 24 {
			e, _ := p.Place(now, engines(3), prompt(fmt.Sprint(i), 7))
			used[e.ID]++
		}
		convey.So(len(used), convey.ShouldEqual, 3)
		convey.Convey("and both engines keep the session then", func() {
			for i := range 24 {
				p.RecordPrefill(now, fmt.Sprint(i), false)
			}
			for i := range 3 {
				all := engines(3)
				_, ok := p.Place(now, all[i:i+1], prompt("again", 7))
				convey.So(ok, convey.ShouldBeTrue)
			}
		})
	})
	convey.Convey("New sessions go to idle engines", t, func() {
		p := placement.NewEngineChooser()
		used := map[string]int{}
		for i := range 9 {
			e, _ := p.Place(now, engines(9), prompt(fmt.Sprint(i), uint64(i+1)))
			used[e.ID]++
		}
		convey.So(len(used), convey.ShouldBeGreaterThan, 6)
	})
	convey.Convey("A prompt of which nothing is reported is forgotten", t, func() {
		p := placement.NewEngineChooser()
		first, _ := p.Place(now, engines(2), prompt("a", 7))
		later, _ := p.Place(now.Add(10*time.Second), engines(2), prompt("b", 7))
		convey.So(later.ID, convey.ShouldEqual, first.ID)
	})
	convey.Convey("Engines that leave or are excluded are never chosen", t, func() {
		list := engines(2)
		list[0].State = directory.Draining
		q := prompt("a", 7)
		q.Exclude = []string{"t1"}
		_, ok := placement.NewEngineChooser().Place(now, list, q)
		convey.So(ok, convey.ShouldBeFalse)
	})
}
