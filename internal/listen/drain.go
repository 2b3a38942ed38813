package listen

import (
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Fields of a TCP header.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
)

// maxPacketBytes is more than any packet has. A filter returns how much of a packet is accepted.
const maxPacketBytes = 1 << 18

// firstPacketFilter drops the first packet of each connection.
var firstPacketFilter = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpFlagSYN | tcpFlagACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpFlagSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: maxPacketBytes},
}

// RefuseNew keeps further connections from being established: the kernel drops the first packet of each. Connections that
// are being established already can still be accepted. Without it, a connection that is established between the last Accept
// and Close is reset, together with the request that its peer has sent.
func (l *Listener) RefuseNew() error {
	filter, err := assemble(firstPacketFilter)
	if err != nil {
		return err
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "accessing the listener")
	}
	var errSet error
	err = raw.Control(func(fd uintptr) {
		prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		errSet = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &prog)
	})
	if err != nil {
		return eris.Wrap(err, "accessing the listener")
	}
	return eris.Wrap(os.NewSyscallError("setsockopt", errSet), "filtering new connections")
}

func assemble(program []bpf.Instruction) ([]unix.SockFilter, error) {
	raw, err := bpf.Assemble(program)
	if err != nil {
		return nil, eris.Wrap(err, "assembling the filter of new connections")
	}
	out := make([]unix.SockFilter, 0, len(raw))
	for _, i := range raw {
		out = append(out, unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K})
	}
	return out, nil
}
