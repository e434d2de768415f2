// Package sockopt bounds what the kernel holds for connections: the size of their receive
// buffers and the number of those that are not accepted yet. Bytes that a machine has
// received and that the process has not read are memory of the process. Without a size, the
// kernel enlarges a buffer to several MiB.
package sockopt

import (
	"errors"
	"net"
	"syscall"

	"tanagerspread/core/callerconn"
	"tanagerspread/node/memory"
)

// ReceiveBuffer returns a Control function for net.Dialer and net.ListenConfig that sets the
// size of the receive buffer in bytes. Connections inherit that of their listener, so that it
// holds before they are accepted.
func ReceiveBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}

// LimitBacklog bounds the connections of a TCP listener that are not accepted yet. The
// kernel drops the opening packets of others, which clients send again.
func LimitBacklog(listener *net.TCPListener, connections int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	// A second call of listen changes the backlog of the first one, which is the largest
	// that the system allows.
	controlErr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), connections) })
	return errors.Join(controlErr, err)
}

// Enlarge makes the receive buffer of a connection large, if the account, which holds a
// small one, has room for it and the connection has a buffer. Otherwise the connection
// stays slower than it could be. The account holds the large buffer until it is released.
func Enlarge(conn net.Conn, account *memory.Account) {
	sized, ok := conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok || account.Held() >= callerconn.LargeUnread {
		return
	}
	before := account.Held()
	if !account.GrowOptional(callerconn.LargeUnread - before) {
		return
	}
	if sized.SetReadBuffer(callerconn.LargeBuffer) != nil {
		account.Shrink(callerconn.LargeUnread - before)
	}
}
