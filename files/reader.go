package files

import (
	"io"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/strict"
)

// MaxSize bounds a file, in bytes.
const MaxSize = 1 * endive.MiB

// Load reads the struct that into points to from a file, and returns what is
// wrong with the contents; what is good is filled in. The file's name ends in
// .toml or .json; "-" stands for JSON from standard input. The error means that
// the file couldn't be read.
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

// decode reads the contents of a file.
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

// Check returns everything wrong with the contents of a file as an error that
// wraps an *Error and is of class endive.ErrInvalid, or nil where nothing is.
// Findings of validation are left out at places that couldn't be read.
func Check(path string, result strict.Result, validation endive.Findings) error {
	findings := result.MergeValidation(validation)
	if len(findings) == 0 {
		return nil
	}
	return endive.ErrInvalid.Wrap(&Error{File: path, Findings: findings})
}
