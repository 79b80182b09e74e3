package declaration

import (
	"fmt"
	"strings"
	"testing"
)

// targetText returns a declaration of the target size: 20 data centres in 8 regions, 602
// services with dependencies, 830 teams and 100 batch classes.
func targetText() []byte {
	var b strings.Builder
	b.WriteString("version: 1\ndeployment: target\ndata_centres:\n")
	for i := range 20 {
		fmt.Fprintf(&b, "  - {name: dc-%d, region: r%d, cells: 8, racks: 50, workers_per_rack: 21, worker: {cores: 64, memory_gb: 250, accelerators: 2}}\n", i, i%8)
	}
	b.WriteString("services:\n")
	for i := range 300 {
		fmt.Fprintf(&b, "  - name: service-%d\n    depends_on: [service-%d, service-%d]\n    runners: 300\n    target_p99: 400ms\n", i, i+300, i+301)
	}
	for i := range 302 {
		fmt.Fprintf(&b, "  - {name: service-%d, runners: 10}\n", i+300)
	}
	b.WriteString("teams:\n")
	for i := range 830 {
		fmt.Fprintf(&b, "  - {name: team-%d, quota: {cores: 1500, memory_gb: 6000, accelerators: 40}}\n", i)
	}
	b.WriteString("batch_classes:\n")
	for i := range 100 {
		fmt.Fprintf(&b, "  - {name: class-%d, urgency: normal, resources: {cores: 4, memory_gb: 12}}\n", i)
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	text := targetText()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("target", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	text := targetText()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Check("target", text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDiff(b *testing.B) {
	old, err := Parse("target", targetText())
	if err != nil {
		b.Fatal(err)
	}
	changed, _ := Parse("target", targetText())
	changed.Declaration.Services[450].Runners++
	b.ReportAllocs()
	for b.Loop() {
		if len(Diff(old.Declaration, changed.Declaration)) != 1 {
			b.Fatal("one change expected")
		}
	}
}
