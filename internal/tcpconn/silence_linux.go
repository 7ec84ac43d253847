package tcpconn

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of the kernel's interface: the most milliseconds
// for which data that was sent may stay unacknowledged. Package syscall lacks it.
const tcpUserTimeout = 0x12

// limitSilence sets SilenceLimit on a socket before it connects.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(SilenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
