package tcp

import (
	"bytes"
	"slices"
	"strconv"
	"time"
)

const (
	// MaxAheadBytes is the largest number of bytes of a connection that are held before
	// the HTTP server asks for them. One read of the server may exceed it.
	MaxAheadBytes = 64 << 10
	// maxSplitHead is the largest head of a request in bytes that is split off. The HTTP
	// server accepts no larger one.
	maxSplitHead = 20 << 10
	// maxLengthDigits bounds the digits of a Content-Length, so that it cannot overflow.
	maxLengthDigits = 15
	// arrivalStep is the time in which held bytes count as read together, so that a caller
	// that sends single bytes does not make the list of their times long.
	arrivalStep = 10 * time.Millisecond
	// maxArrivals bounds that list. Later bytes count as read with the last ones in it.
	maxArrivals = 64
)

// headEnd is the end of the last line of a head with the empty line.
var headEnd = []byte("\r\n\r\n")

// Head describes the head of a request as far as it states where the request ends.
type Head struct {
	// Size is its length in bytes, with the empty line.
	Size int
	// Body is the length of the body in bytes.
	Body int
	// Reads reports a request with method GET or HEAD and a path as its target.
	Reads bool
	// Last reports that the connection may close after the response.
	Last bool
}

// HeadState says what is known about the head at the start of some bytes.
type HeadState int

const (
	// HeadPartial means that more bytes are needed.
	HeadPartial HeadState = iota
	// HeadComplete means that it is certain where the request ends.
	HeadComplete
	// HeadUncertain means that HTTP parsers may disagree about where it ends, or that it
	// is a chunked, an announced or an upgrading request.
	HeadUncertain
)

// ReadHead reads the head of a request at the start of some bytes.
func ReadHead(data []byte) (Head, HeadState) {
	end := bytes.Index(data, headEnd)
	switch {
	case end < 0 && len(data) <= maxSplitHead:
		return Head{}, HeadPartial
	case end < 0 || end > maxSplitHead:
		return Head{}, HeadUncertain
	}
	head := Head{Size: end + len(headEnd), Body: -1}
	line, rest, certain := cutLine(data[:head.Size])
	certain = certain && head.readRequestLine(line)
	for certain && len(rest) > len("\r\n") {
		line, rest, certain = cutLine(rest)
		certain = certain && head.readField(line)
	}
	if !certain {
		return Head{}, HeadUncertain
	}
	head.Body = max(head.Body, 0)

	return head, HeadComplete
}

// cutLine returns the first line without its end, and the bytes after it. It reports
// whether the line ends with a carriage return and a line feed and has no others.
func cutLine(data []byte) (line, rest []byte, certain bool) {
	end := bytes.IndexByte(data, '\n')
	if end < 1 || bytes.IndexByte(data[:end], '\r') != end-1 {
		return nil, nil, false
	}

	return data[:end-1], data[end+1:], true
}

// readRequestLine reads the first line, and reports whether its form is certain.
func (h *Head) readRequestLine(line []byte) bool {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	for _, letter := range method {
		if letter < 'A' || letter > 'Z' {
			return false
		}
	}
	h.Reads = len(target) > 0 && target[0] == '/' && (string(method) == "GET" || string(method) == "HEAD")

	return len(method) > 0 && len(target) > 0 && string(version) == "HTTP/1.1"
}

// readField reads a line with a field, and reports whether its form is certain.
func (h *Head) readField(line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon < 1 {
		return false
	}
	name, value := line[:colon], line[colon+1:]
	for _, letter := range name {
		if letter <= ' ' || letter >= 0x7f {
			return false
		}
	}
	switch name[0] | 0x20 {
	case 'c':
		switch {
		case isName(name, "content-length"):
			return h.readLength(bytes.Trim(value, " \t"))
		case isName(name, "connection"):
			h.Last = h.Last || !isName(bytes.Trim(value, " \t"), "keep-alive")
		}
	case 't':
		return !isName(name, "transfer-encoding")
	case 'e':
		return !isName(name, "expect")
	case 'u':
		return !isName(name, "upgrade")
	}

	return true
}

// readLength reads the value of a Content-Length, which may occur only once.
func (h *Head) readLength(value []byte) bool {
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	if h.Body >= 0 || len(value) > maxLengthDigits {
		return false
	}
	length, err := strconv.Atoi(string(value))
	h.Body = length

	return err == nil
}

// isName reports whether a name is another one in lower case, in any letter case.
func isName(name []byte, lower string) bool {
	return len(name) == len(lower) && bytes.EqualFold(name, []byte(lower))
}

// Splitter divides the bytes of a connection into requests, so that the HTTP server
// receives those of one request at a time, and holds the bytes that follow. The server
// receives all bytes in their order in any case. After a request whose end is uncertain
// they are no longer divided. It belongs to the goroutine that serves the connection.
type Splitter struct {
	// ahead are the bytes that the server has not received.
	ahead []byte
	// returned is the number of these that NextAhead has returned.
	returned int
	// ended is set when NextAhead has returned the last request.
	ended bool
	// head is the part of an incomplete head that the server has received.
	head []byte
	// body is the number of bytes of a body that the server has not received.
	body int
	// undivided is set after a request whose end is uncertain.
	undivided bool
	// arrivals says when the bytes that are held were read.
	arrivals []arrival
	// headEnd is the number of bytes that completed a head in the last delivery, or 0.
	headEnd int
	// headReadAt is when the last byte of the newest head that the server received was
	// read, if it was held.
	headReadAt time.Time
}

// arrival says when held bytes up to a number of them were read.
type arrival struct {
	end int
	at  time.Time
}

// Held returns the number of bytes that the server has not received.
func (s *Splitter) Held() int {
	return len(s.ahead)
}

// HeadReadAt returns when the head of the request that the server receives was read, or
// zero if the server received it at once.
func (s *Splitter) HeadReadAt() time.Time {
	return s.headReadAt
}

// Add adds bytes that the server has not received.
func (s *Splitter) Add(data []byte) {
	s.ahead = append(s.ahead, data...)
	now, last := time.Now(), len(s.arrivals)-1
	if last >= 0 && (last+1 == maxArrivals || now.Sub(s.arrivals[last].at) < arrivalStep) {
		s.arrivals[last].end = len(s.ahead)
	} else {
		s.arrivals = append(s.arrivals, arrival{end: len(s.ahead), at: now})
	}
}

// Keep takes bytes that were read for the server. It returns how many of them the
// server receives, and holds the others.
func (s *Splitter) Keep(data []byte) int {
	count := s.advance(data)
	if count < len(data) {
		s.Add(data[count:])
	}

	return count
}

// Take delivers bytes that are held to the server.
func (s *Splitter) Take(buffer []byte) int {
	count := s.advance(s.ahead[:min(len(buffer), len(s.ahead))])
	copy(buffer, s.ahead[:count])
	s.removeArrivals(count)
	s.ahead, s.returned = s.ahead[count:], max(s.returned-count, 0)
	if len(s.ahead) == 0 {
		s.ahead = nil // the memory of a burst is not kept
	}

	return count
}

// removeArrivals removes the times at which the first of the held bytes were read, and
// keeps that of the end of a head.
func (s *Splitter) removeArrivals(count int) {
	for _, next := range s.arrivals {
		if s.headEnd > 0 && next.end >= s.headEnd {
			s.headReadAt = next.at

			break
		}
	}
	s.arrivals = slices.DeleteFunc(s.arrivals, func(next arrival) bool { return next.end <= count })
	for i := range s.arrivals {
		s.arrivals[i].end -= count
	}
}

// advance returns how many bytes belong to the request that the server receives, and
// records that it receives them.
func (s *Splitter) advance(data []byte) int {
	s.headEnd = 0
	if s.undivided {
		return len(data)
	}
	if s.body > 0 {
		count := min(s.body, len(data))
		s.body -= count

		return count
	}
	before, text := len(s.head), data
	if before > 0 {
		s.head = append(s.head, data...)
		text = s.head
	}
	head, state := ReadHead(text)
	switch state {
	case HeadPartial:
		if before == 0 {
			s.head = append(s.head, data...)
		}

		return len(data)
	case HeadUncertain:
		s.ServeUndivided()

		return len(data)
	case HeadComplete:
	}
	s.head, s.headEnd, s.headReadAt = nil, head.Size-before, time.Time{}
	size := s.headEnd + head.Body
	count := min(size, len(data))
	s.body = size - count

	return count
}

// NextAhead returns the head of the next request that the server has not received, once
// for each. With HeadPartial, more bytes are needed; with HeadUncertain, the request
// must wait for its turn, or its end is not certain.
func (s *Splitter) NextAhead() ([]byte, HeadState) {
	if s.undivided || s.ended || s.body > 0 || len(s.head) > 0 {
		return nil, HeadUncertain
	}
	head, state := ReadHead(s.ahead[s.returned:])
	if state != HeadComplete {
		return nil, state
	}
	if !head.Reads || head.Body > 0 {
		return nil, HeadUncertain
	}
	text := s.ahead[s.returned : s.returned+head.Size]
	s.returned += head.Size
	s.ended = head.Last

	return text, HeadComplete
}

// Undivided reports whether the server may receive bytes of several requests at once.
func (s *Splitter) Undivided() bool {
	return s.undivided
}

// ServeUndivided stops dividing the bytes.
func (s *Splitter) ServeUndivided() {
	s.undivided, s.head, s.headReadAt = true, nil, time.Time{}
}
