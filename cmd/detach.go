package cmd

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// standardErrorPath opens the file behind the standard error once more.
const standardErrorPath = "/proc/self/fd/2"

// DifferentFileError reports a path that opened another file than the standard error.
type DifferentFileError struct {
	// Path is the path.
	Path string
}

// Error names the path.
func (e *DifferentFileError) Error() string {
	return fmt.Sprintf("%s is not the standard error", e.Path)
}

// detachErrors makes writes to the standard error fail instead of wait if it is a full pipe,
// and returns a file whose writes wait as before, or nil if it is no pipe with a reader. The
// runtime writes the stacks of a panic to the standard error while all goroutines are stopped:
// a process whose errors nobody reads would neither go on nor end. What the pipe has no room for
// is lost then. The pipe is opened once more, since other processes share the mode of the
// inherited descriptor.
func detachErrors() (*os.File, error) {
	var inherited, opened unix.Stat_t
	if err := unix.Fstat(unix.Stderr, &inherited); err != nil {
		return nil, eris.Wrap(err, "reading the state of the standard error")
	}
	if inherited.Mode&unix.S_IFMT != unix.S_IFIFO {
		return nil, nil
	}
	descriptor, err := unix.Open(standardErrorPath, unix.O_WRONLY|unix.O_NONBLOCK|unix.O_CLOEXEC, 0)
	if eris.Is(err, unix.ENXIO) { // without a reader, writes do not wait
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "opening the standard error")
	}
	defer unix.Close(descriptor)
	if err := unix.Fstat(descriptor, &opened); err != nil {
		return nil, eris.Wrap(err, "reading the state of the opened file")
	}
	if opened.Dev != inherited.Dev || opened.Ino != inherited.Ino {
		return nil, &DifferentFileError{Path: standardErrorPath}
	}
	waiting, err := unix.FcntlInt(uintptr(unix.Stderr), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "duplicating the standard error")
	}
	if err := unix.Dup3(descriptor, unix.Stderr, 0); err != nil {
		_ = unix.Close(waiting) // it was never used

		return nil, eris.Wrap(err, "replacing the standard error")
	}

	return os.NewFile(uintptr(waiting), "standard error"), nil
}
