package fleet

import (
	"fmt"
	"testing"

	"github.com/vanillapier/vanillapier/internal/model"
)

// BenchmarkRunningShortWork counts what runs of short work on 350 workers with six runs each, of
// which one in ten has short runs.
func BenchmarkRunningShortWork(b *testing.B) {
	tm := &term{queues: map[string]Queue{}, workers: map[model.WorkerID]*worker{}}
	service, short := &Step{Lasting: true}, &Step{}
	service.Needs.MilliCPU, short.Needs.MilliCPU = 1000, 1000
	for i := range 350 {
		w := testWorker(fmt.Sprintf("w%03d", i))
		tm.workers[w.info.Worker] = w
		for k := range 6 {
			step := service
			if i%10 == 0 && k < 2 {
				step = short
			}
			testRun(w, step, i*10+k)
		}
	}
	for b.Loop() {
		tm.runningShortWork()
	}
}
