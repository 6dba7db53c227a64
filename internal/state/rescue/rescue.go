// Package rescue contains panics, so that one message that meets a fault of the
// daemon costs its own connection and not the process.
//
// Faults that the Go runtime reports as fatal errors, such as concurrent writes
// to a map or a lack of memory, still end the process.
package rescue

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes bounds the stack trace that an [Error] keeps.
const maxStackBytes = 4 << 10

// Error is a panic that was recovered.
type Error struct {
	// Op names what panicked.
	Op string
	// Value is the value of the panic.
	Value any
	// Stack is the beginning of the stack trace.
	Stack string
}

// Error returns the operation and the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("rescue: %s panicked: %v", e.Op, e.Value) }

// Run calls f. It returns an [*Error] if f panics, and nil otherwise.
func Run(op string, f func()) (err *Error) {
	defer func() {
		if value := recover(); value != nil {
			stack := debug.Stack()
			err = &Error{
				Op:    op,
				Value: value,
				Stack: string(stack[:min(len(stack), maxStackBytes)]),
			}
		}
	}()
	f()
	return nil
}
