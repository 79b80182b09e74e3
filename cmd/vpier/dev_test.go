package main

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/dev"
	"github.com/vanillapier/vanillapier/internal/model"
)

// A run that misses a requirement must leave its logs, also when no file was named.
func TestLogOfFailedRunIsKept(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	log, err := openRunLog("")
	require.NoError(t, err)
	err = log.close(dev.ErrRequirementNotMet)
	require.ErrorIs(t, err, dev.ErrRequirementNotMet)
	require.ErrorContains(t, err, log.file.Name())
	require.FileExists(t, log.file.Name())

	for _, result := range []error{nil, errors.New("interrupted")} {
		log, err = openRunLog("")
		require.NoError(t, err)
		require.Equal(t, result, log.close(result))
		require.NoFileExists(t, log.file.Name())
	}
}

func TestNamedLogIsKept(t *testing.T) {
	name := filepath.Join(t.TempDir(), "nodes.log")
	log, err := openRunLog(name)
	require.NoError(t, err)
	require.NoError(t, log.close(nil))
	require.FileExists(t, name)
	_, err = openRunLog(filepath.Join(t.TempDir(), "none", "nodes.log"))
	require.True(t, model.IsKind(err, model.KindInvalid))
}
