// Package cmds implements the commands of the endive program, one file each.
package cmds
