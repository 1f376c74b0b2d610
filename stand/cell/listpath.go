package cell

import "fmt"

// listPath is the path of a list in the cell file, for findings.
type listPath string

// root returns the path of the list itself.
func (p listPath) root() string { return string(p) }

// field returns the path of a field of the list's element i.
func (p listPath) field(i int, name string) string {
	return fmt.Sprintf("%s[%d].%s", p, i, name)
}
