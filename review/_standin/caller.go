package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is a request of a requester.
type call struct {
	method, path, host, key, id string
	deadline                    time.Duration
	header                      [][2]string
	body                        []byte
}

// outcome is what a requester saw.
type outcome struct {
	status    int
	header    http.Header
	body      []byte
	complete  bool
	err       error
	sentAt    time.Time
	firstByte time.Time
	endedAt   time.Time
}

func (o *outcome) String() string {
	if o.err != nil && o.status == 0 {
		return fmt.Sprintf("no answer: %v", o.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete %t", o.status, len(o.body), o.complete)
}

func (c *call) encode() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&text, "Api-Key: %s\r\n", c.key)
	}
	for _, field := range c.header {
		fmt.Fprintf(&text, "%s: %s\r\n", field[0], field[1])
	}
	if len(c.body) > 0 || c.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %s\r\n", strconv.Itoa(len(c.body)))
	}
	text.WriteString("\r\n")
	text.Write(c.body)
	return text.Bytes()
}

// kept is a connection that a requester keeps for several requests.
type kept struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*kept, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request on the connection and reads the answer, for as long as the requester
// waits.
func (k *kept) do(c *call) (result outcome) {
	result.sentAt = time.Now()
	defer func() { result.endedAt = time.Now() }()
	_ = k.SetDeadline(result.sentAt.Add(c.deadline + 500*time.Millisecond))
	if _, result.err = k.Write(c.encode()); result.err != nil {
		return result
	}
	request, _ := http.NewRequest(c.method, "http://"+c.host+c.path, nil)
	response, err := http.ReadResponse(k.reader, request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status, result.header = response.StatusCode, response.Header
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && result.firstByte.IsZero() {
			result.firstByte = time.Now()
		}
		result.body = append(result.body, buffer[:n]...)
		if err == io.EOF {
			result.complete = true
			return result
		}
		if err != nil {
			result.err = err
			return result
		}
	}
}

// doOnce sends a request on a new connection.
func doOnce(address string, c *call) outcome {
	conn, err := connect(address)
	if err != nil {
		return outcome{err: err, sentAt: time.Now(), endedAt: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	return conn.do(c)
}
