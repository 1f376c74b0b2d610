package files

import (
	"io"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/strict"
)

// MaxSize is the maximum size of a file, in bytes.
const MaxSize = 1 * endive.MiB

// Load decodes a file into the struct that target points to. The result has the findings
// about the contents; fields without findings are set. The extension of the file name
// must be .toml or .json; the path "-" means JSON from standard input. Load returns an
// error if it can't read the file.
func Load(path string, target any) (strict.Result, error) {
	if path == "-" {
		return decode(".json", os.Stdin, target)
	}
	file, err := os.Open(path)
	if err != nil {
		return strict.Result{}, errs.New("files.Load: %w", err)
	}
	defer file.Close()
	return decode(filepath.Ext(path), file, target)
}

// decode decodes the contents of a file with the given extension.
func decode(extension string, source io.Reader, into any) (strict.Result, error) {
	data, err := io.ReadAll(io.LimitReader(source, int64(MaxSize)+1))
	if err != nil {
		return strict.Result{}, errs.New("files.Load: %w", err)
	}
	switch {
	case endive.Bytes(len(data)) > MaxSize:
		return strict.Malformed("file", "is longer than %d bytes", MaxSize), nil
	case extension == ".json":
		return strict.JSON(data, into), nil
	case extension == ".toml":
		return strict.TOML(data, into), nil
	}
	return strict.Malformed("file", "must be named .toml or .json, so that its format is known"), nil
}

// Check returns the findings of decoding and validation as an error of class
// endive.ErrInvalid that wraps an *Error, or nil if there are none. It leaves out
// validation findings about fields that could not be decoded.
func Check(path string, result strict.Result, validation endive.Findings) error {
	findings := result.MergeValidation(validation)
	if len(findings) == 0 {
		return nil
	}
	return endive.ErrInvalid.Wrap(&Error{File: path, Findings: findings})
}
