package client

import (
	"strings"

	"siskinswitch.example/siskin/pkg/clock"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Message is a message to a daemon.
type Message struct {
	// Daemon is the "ip:port" outbound address of the daemon.
	Daemon string
	Method string
	Path   string
	Fields []Field
	Body   []byte
	// Wait bounds the time until the complete answer has arrived.
	Wait clock.Milli
}

// Reply is the complete answer to a message.
type Reply struct {
	Status int
	Fields []Field
	Body   []byte
}

// Field returns the value of the first field with the given name, in any case, or
// "" if there is none.
func (r Reply) Field(name string) string {
	for _, f := range r.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}
