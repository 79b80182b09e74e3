package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "vpier-soak-bin-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "vpierd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/vpierd").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build vpierd: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// seeds names the seeds of a run: SOAK_SEEDS="first,count". CI plays two.
func seeds(t *testing.T) (first, count int) {
	first, count = 1, 2
	if v := os.Getenv("SOAK_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d,%d", &first, &count)
		require.NoError(t, err)
	}
	return first, count
}

func TestSoak(t *testing.T) { playSeeds(t, 0) }

// TestSoakOfCells plays the same seeds on a fleet of three cells.
func TestSoakOfCells(t *testing.T) { playSeeds(t, 3) }

func playSeeds(t *testing.T, cells int) {
	first, count := seeds(t)
	atOnce := 2 // on a shared machine
	if v := os.Getenv("SOAK_JOBS"); v != "" {
		var err error
		atOnce, err = strconv.Atoi(v)
		require.NoError(t, err)
	}
	slots := make(chan struct{}, atOnce)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := Run(t.Context(), Options{Binary: binary, Seed: uint64(seed), Nodes: 4, Workers: 6, Cells: cells, Length: 14 * time.Second, Logs: os.Getenv("SOAK_LOGS")})
			require.NoError(t, err)
			t.Logf("%d jobs, %d accepted, %d refused, %d starts, %v", r.Jobs, r.Accepted, r.Refused, r.Starts, r.Took.Round(time.Second))
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Positive(t, r.Accepted)
			require.Empty(t, r.Broken)
		})
	}
}

func TestScheduleIsSeeded(t *testing.T) {
	require.Equal(t, Schedule(3, 4, 6, time.Minute), Schedule(3, 4, 6, time.Minute))
	require.NotEqual(t, Schedule(3, 4, 6, time.Minute), Schedule(4, 4, 6, time.Minute))
	met := map[Kind]bool{}
	for _, f := range Schedule(5, 4, 6, 10*time.Minute) {
		met[f.Kind] = true
		require.GreaterOrEqual(t, f.Lasts, shortest)
		require.Less(t, f.Lasts, longest)
	}
	require.Len(t, met, len(kinds)+len(heavyKinds), "a long schedule holds every kind")
}
