package guard

import (
	"syscall"
	"time"

	"endiveroute.example/endive"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// userTimeout returns a net.Dialer.Control function that limits how long sent bytes may
// stay unacknowledged.
func userTimeout(limit endive.Interval) func(network, address string, raw syscall.RawConn) error {
	millis := int(time.Duration(limit).Milliseconds())
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, millis)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
