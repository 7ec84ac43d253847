package relay_test

import (
	"testing"
	"time"
)

// BenchmarkAdmit measures the refusal of a request with three stages: resolving its route,
// planning its stages and comparing their estimated time.
func BenchmarkAdmit(b *testing.B) {
	f, s := setup(chainRoute(), true)
	f.backlog = 3 * time.Second
	out := &fakeClient{}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Serve(b.Context(), request(1, 4, 2), out); err == nil {
			b.Fatal("admitted")
		}
	}
}
