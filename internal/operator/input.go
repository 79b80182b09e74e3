package operator

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// stdinName selects standard input in place of a file name.
const stdinName = "-"

// readInput reads a file or standard input. It stops one byte after the size limit of
// a declaration, so that it never reads a huge file into memory.
func (p *Program) readInput(path string) ([]byte, error) {
	in, err := p.openInput(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, declaration.MaxBytes+1))
	if err != nil {
		return nil, fileError(path, err)
	}
	return data, nil
}

// checkReadable returns an error when path does not exist or is a directory.
func checkReadable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fileError(path, err)
	}
	if info.IsDir() {
		return model.Errorf(model.KindInvalid, "name a file in it", "%s is a directory", path)
	}
	return nil
}

// fileError wraps an error of reading a file and adds a remedy.
func fileError(path string, err error) error {
	remedy := "check the path and the file"
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return model.Errorf(model.KindInvalid, "check the path", "there is no file %s", path)
	case errors.Is(err, fs.ErrPermission):
		remedy = "make the file readable for this user"
	}
	return model.Wrap(model.KindInvalid, err, remedy, "%s cannot be read", path)
}

// openInput opens a file, or standard input for -, for streaming. Logs are too large
// to read into memory.
func (p *Program) openInput(path string) (io.ReadCloser, error) {
	if path == stdinName {
		return io.NopCloser(p.Stdin), nil
	}
	if err := checkReadable(path); err != nil {
		return nil, err
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fileError(path, err)
	}
	return file, nil
}
