// Package recovery keeps an unexpected error in one piece of work from ending the process.
package recovery

import (
	"fmt"
	"runtime/debug"
)

// PanicError reports that a piece of work panicked.
type PanicError struct {
	// Work says what was being done.
	Work string
	// Value is what was passed to panic.
	Value any
	// Stack is the stack of the goroutine.
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Work, e.Value) }

// NewPanicError returns the error for a recovered value. It must be called by the deferred
// function that recovered it, so that the stack is that of the panic.
func NewPanicError(work string, value any) *PanicError {
	return &PanicError{Work: work, Value: value, Stack: debug.Stack()}
}

// Run does a piece of work and returns *PanicError if it panics, otherwise nil.
func Run(work string, do func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = NewPanicError(work, value)
		}
	}()
	do()
	return nil
}
