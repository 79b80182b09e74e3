package operator

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// stdinName stands for standard input in place of a file name.
const stdinName = "-"

// readInput reads a file or standard input. It stops one byte behind the size
// limit of a declaration, so that a huge file is not read as a whole.
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

// checkReadable returns an error when path is not a file that can be read.
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

// fileError names the remedy for a file that cannot be read.
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

// openInput opens a file, or standard input for -, to be read as a stream. Logs
// are too large to be held as a whole.
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
