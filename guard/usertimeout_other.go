//go:build !linux

package guard

import (
	"syscall"

	"endiveroute.example/endive"
)

// userTimeout returns nil, because only Linux has TCP_USER_TIMEOUT.
func userTimeout(endive.Interval) func(network, address string, raw syscall.RawConn) error {
	return nil
}
