package setup

import (
	"errors"
	"fmt"
	"io"

	"endiveroute.example/endive/files"
)

// Report writes what a check of settings has found to w: a line for each finding
// and how many there are, or that the settings are good.
func Report(w io.Writer, settings fmt.Stringer, err error) {
	var invalid *files.Error
	switch {
	case err == nil:
		fmt.Fprintf(w, "The settings are good: %s.\n", settings)
	case errors.As(err, &invalid):
		fmt.Fprintln(w, invalid)
		fmt.Fprintf(w, "%s has %d findings; correct them, and compare with setup/sample.toml.\n", invalid.File, len(invalid.Findings))
	default:
		fmt.Fprintln(w, err)
	}
}
