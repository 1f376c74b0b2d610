package setup

import (
	"errors"
	"fmt"
	"io"

	"endiveroute.example/endive/files"
)

// Report writes the result of loading settings: a summary if the settings are
// valid, else a line for each finding and the number of findings.
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
