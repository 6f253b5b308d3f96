package forward

import (
	"net"
	"syscall"
)

// isReadable reports whether an idle connection has bytes or an end of stream
// waiting, or has failed. In each of these cases it must not carry a request.
func isReadable(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	readable := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = errno != syscall.EAGAIN
	})
	return err != nil || readable
}
