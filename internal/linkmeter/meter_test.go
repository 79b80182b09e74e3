package linkmeter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBothEndsCount(t *testing.T) {
	var server, client Meter
	body := bytes.Repeat([]byte("x"), 100_000)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		all, _ := io.ReadAll(r.Body) // a truncated body fails the comparison below
		_, _ = w.Write(all)
	}))
	s.Listener = server.Listener(s.Listener)
	s.Start()
	tr := &http.Transport{DialContext: client.Dialer((&net.Dialer{}).DialContext)}
	resp, err := (&http.Client{Transport: tr}).Post(s.URL, "text/plain", bytes.NewReader(body))
	require.NoError(t, err)
	echo, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.True(t, bytes.Equal(body, echo))
	tr.CloseIdleConnections()
	s.Close() // the server counts a write after it has returned; Close waits for that

	cr, cs := client.Totals()
	sr, ss := server.Totals()
	require.Equal(t, cs, sr, "what one end sends, the other receives")
	require.Equal(t, ss, cr)
	require.GreaterOrEqual(t, cs, int64(len(body)))
	require.GreaterOrEqual(t, cr, int64(len(body)))
}

func TestNilMeterCountsNothing(t *testing.T) {
	var m *Meter
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, ln.Close()) }()
	require.Equal(t, ln, m.Listener(ln))
	received, sent := m.Totals()
	require.Zero(t, received+sent)
}

func TestFailedDialIsNotCounted(t *testing.T) {
	var m Meter
	_, err := m.Dialer((&net.Dialer{}).DialContext)(t.Context(), "tcp", "127.0.0.1:0")
	require.Error(t, err)
}
