package soak

import (
	"encoding/json"
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

// seedRange returns the range of seeds to run, from SOAK_SEEDS="first,count"; CI runs the
// default of two.
func seedRange(t *testing.T) (first, count int) {
	first, count = 1, 2
	if v := os.Getenv("SOAK_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d,%d", &first, &count)
		require.NoError(t, err)
	}
	return first, count
}

func TestSoak(t *testing.T) { runSeeds(t, 0) }

// TestSoakWithCells runs the same seeds on a fleet of three cells.
func TestSoakWithCells(t *testing.T) { runSeeds(t, 3) }

func runSeeds(t *testing.T, cells int) {
	first, count := seedRange(t)
	logs := os.Getenv("SOAK_LOGS")
	if logs != "" && cells > 0 { // each seed is also run without cells
		logs = filepath.Join(logs, fmt.Sprintf("cells-%d", cells))
	}
	runAll(t, seedsFrom(first, count), Options{Nodes: 4, Workers: 6, Cells: cells, Length: 14 * time.Second, Logs: logs})
}

// Guards against two leaders that order at once. In these seeds the data centre of a leader is cut off
// long enough for the leases of its workers to end under a later leader.
func TestSoakAimedAtLeaders(t *testing.T) {
	seeds := []uint64{1, 7}
	if os.Getenv("SOAK_SEEDS") != "" {
		seeds = seedsFrom(seedRange(t))
	}
	logs := os.Getenv("SOAK_LOGS")
	if logs != "" {
		logs = filepath.Join(logs, "aimed")
	}
	runAll(t, seeds, Options{Nodes: 9, Workers: 30, Aim: true, Length: 20 * time.Second, Logs: logs})
}

// Guards against numbers of one lifetime that reach the next, on workers that are cut off soon after.
func TestSoakWithSilentRestarts(t *testing.T) {
	t.Parallel()
	seeds := []uint64{2}
	if os.Getenv("SOAK_SEEDS") != "" {
		seeds = seedsFrom(seedRange(t))
	}
	logs := os.Getenv("SOAK_LOGS")
	if logs != "" {
		logs = filepath.Join(logs, "silent")
	}
	runAll(t, seeds, Options{Nodes: 4, Workers: 24, SilentRestarts: true, Length: 4 * time.Second, Logs: logs})
}

func seedsFrom(first, count int) []uint64 {
	var seeds []uint64
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, uint64(seed))
	}
	return seeds
}

func runAll(t *testing.T, seeds []uint64, o Options) {
	parallel := 2 // limits the load on a shared machine
	if v := os.Getenv("SOAK_JOBS"); v != "" {
		var err error
		parallel, err = strconv.Atoi(v)
		require.NoError(t, err)
	}
	slots := make(chan struct{}, parallel)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			o := o
			o.Binary, o.Seed = binary, seed
			r, err := Run(t.Context(), o)
			require.NoError(t, err)
			t.Logf("%d jobs, %d accepted, %d refused, %d starts, %v, terms %v", r.Jobs, r.Accepted, r.Refused, r.Starts, r.Took.Round(time.Second), r.Terms)
			for _, f := range r.Faults {
				t.Log(f)
			}
			require.Positive(t, r.Accepted)
			require.Empty(t, r.Violations)
		})
	}
}

// Each run of a seed wrote over the logs of the run before, and runs without a folder for logs
// dropped them.
func TestBrokenRunKeepsItsLogs(t *testing.T) {
	t.Parallel()
	o := Options{Binary: "false", Seed: 9, Nodes: 1, Workers: 1, Length: time.Second}
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.NotEmpty(t, r.Violations, "a node that ends at once")
	defer func() { _ = os.RemoveAll(filepath.Dir(r.Logs)) }()
	for _, name := range []string{resultFile, "calls.json", "node-0.json", "node-0.log", "workers.log"} {
		require.FileExists(t, filepath.Join(r.Logs, name))
	}
	data, err := os.ReadFile(filepath.Join(r.Logs, resultFile))
	require.NoError(t, err)
	var kept []Result
	require.NoError(t, json.Unmarshal(data, &kept))
	require.Equal(t, []Result{r}, kept, "its schedule and its result")

	next, err := newDirectory(filepath.Dir(r.Logs), o.Seed)
	require.NoError(t, err)
	require.NotEqual(t, r.Logs, next, "a later run of the seed has another folder")
	third, err := newDirectory(filepath.Dir(r.Logs), o.Seed)
	require.NoError(t, err)
	require.NotContains(t, []string{r.Logs, next}, third)
}

func TestScheduleIsDeterministic(t *testing.T) {
	require.Equal(t, Schedule(3, 4, 6, time.Minute), Schedule(3, 4, 6, time.Minute))
	require.NotEqual(t, Schedule(3, 4, 6, time.Minute), Schedule(4, 4, 6, time.Minute))
	seen := map[Kind]bool{}
	for _, f := range Schedule(5, 4, 6, 10*time.Minute) {
		seen[f.Kind] = true
		require.GreaterOrEqual(t, f.Duration, minFaultDuration)
		longest := maxFaultDuration
		if f.Kind == RestartWorker {
			longest += maxEntryDelay // the entry of a restart behind a cut follows the end of the cut
		}
		require.Less(t, f.Duration, longest)
	}
	require.Len(t, seen, len(kinds)+len(heavyKinds)+len(groupKinds)+1, "a long schedule holds every kind")
}

// Guards against a generator whose restarts are not behind the fault of their group: each lies
// within it, its entry comes at most maxEntryDelay after its end, and some workers restart twice.
func TestGroupsRestartBehindTheirFault(t *testing.T) {
	const workers = 7
	var group Fault
	restarts, twice, entriesBefore, entriesAfter := map[int]int{}, 0, 0, 0
	for _, f := range groupFaults(5, workers, 10*time.Minute) {
		if f.Kind != RestartWorker {
			group, restarts = f, map[int]int{}
			require.NotEmpty(t, f.Workers)
			require.Subset(t, []int{0, 1, 2, 3, 4, 5, 6}, f.Workers)
			continue
		}
		require.Contains(t, group.Workers, f.Target)
		require.Contains(t, []Kind{CutWorkers, MuteWorkers}, group.Kind)
		end := group.At + group.Duration
		require.GreaterOrEqual(t, f.At, group.At)
		require.Less(t, f.At, end)
		require.Less(t, f.At+f.Duration, end+maxEntryDelay)
		if restarts[f.Target]++; restarts[f.Target] == 2 {
			twice++
		}
		if f.At+f.Duration < end {
			entriesBefore++
		} else {
			entriesAfter++
		}
	}
	require.Positive(t, twice)
	require.Positive(t, entriesBefore)
	require.Positive(t, entriesAfter)
}
