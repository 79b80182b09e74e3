package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/telemetry"
	"github.com/vanillapier/vanillapier/platform"
	"github.com/vanillapier/vanillapier/platform/platformtest"
)

// newTestProcess returns a node with a store of its own, on an address that only this process uses.
func newTestProcess(t *testing.T) *process {
	store := platformtest.NewStore(fleettest.NewStore(1).View())
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	settings := platformtest.NodeSettings{Node: "node-0", IP: fmt.Sprintf("127.222.%d.%d", os.Getpid()%250, os.Getpid()/250%250+1), Zone: "z0",
		Callers: 7000, Ready: 7001, Peers: 7002, Metrics: 7003, CPUShare: 0.8, Store: store.Addr(),
		Bounds: fleet.Bounds{Grace: 6 * time.Second, LeaseMax: 6 * time.Second, Retention: time.Minute, Maintenance: time.Second}}
	data, err := settings.JSON()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := newProcess(s, path, logrus.NewEntry(log), telemetry.NewMetrics("test"))
	require.NoError(t, err)
	return p
}

// The servers were closed as soon as a drain had stopped to accept connections, so requests that were
// still in flight got no answer.
func TestRequestInFlightIsAnsweredDuringDrain(t *testing.T) {
	p := newTestProcess(t)
	inFlight, shutdown := make(chan struct{}), make(chan struct{})
	p.callers.RegisterOnShutdown(func() { close(shutdown) })
	p.callers.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(inFlight)
		<-shutdown
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(w, "complete") // the caller notices a failure
	})
	ended := make(chan error, 1)
	go func() { ended <- p.run() }()
	go func() {
		<-inFlight
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM) // run handles it
	}()
	resp, err := http.Get("http://" + p.settings.Addresses.Callers)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "complete", string(body))
	require.NoError(t, <-ended)
}
