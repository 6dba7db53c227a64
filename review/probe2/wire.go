package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
)

// message is a request or an answer as it was read.
type message struct {
	first  string
	fields [][2]string
	body   []byte
	// unframed says that an answer ended with its connection.
	unframed bool
}

func (m *message) get(name string) string {
	for _, f := range m.fields {
		if strings.EqualFold(f[0], name) {
			return f[1]
		}
	}
	return ""
}

func (m *message) closes() bool {
	return strings.Contains(strings.ToLower(m.get("Connection")), "close")
}

func (m *message) status() int {
	parts := strings.SplitN(m.first, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return 0
	}
	n, _ := strconv.Atoi(parts[1])
	return n
}

var errNoAnswer = errors.New("no bytes before the connection ended")

func readHead(br *bufio.Reader) (*message, error) {
	m := &message{}
	first, err := br.ReadString('\n')
	if err != nil {
		if first == "" {
			return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
		}
		return nil, err
	}
	m.first = strings.TrimRight(first, "\r\n")
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			return m, nil
		}
		name, value, _ := strings.Cut(line, ":")
		m.fields = append(m.fields, [2]string{name, strings.TrimSpace(value)})
	}
}

func (m *message) readBody(br *bufio.Reader, isAnswer bool) error {
	var err error
	switch {
	case strings.EqualFold(m.get("Transfer-Encoding"), "chunked"):
		if m.body, err = io.ReadAll(httputil.NewChunkedReader(br)); err != nil {
			return err
		}
		_, err = br.ReadString('\n')
	case m.get("Content-Length") != "":
		n, bad := strconv.Atoi(m.get("Content-Length"))
		if bad != nil {
			return bad
		}
		m.body = make([]byte, n)
		_, err = io.ReadFull(br, m.body)
	case isAnswer:
		m.unframed = true
		m.body, err = io.ReadAll(br)
	}
	return err
}

func readAnswer(br *bufio.Reader) (*message, error) {
	m, err := readHead(br)
	if err != nil {
		return nil, err
	}
	return m, m.readBody(br, true)
}
