// Package result defines the numbered result codes of the system and the error type that carries one.
// docs/result-codes.md lists every code; a test fails when the page and this package differ.
package result

import (
	"errors"
	"fmt"
)

// Code is a numbered result. Numbers are stable and never reused.
type Code int

// Info describes a code for operators.
type Info struct {
	Name    string
	Meaning string
	Action  string // what the operator or caller should do
}

// Error is an error with a numbered code.
type Error struct {
	Code Code
	err  error
}

// Error returns code number, name and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("PS%04d %s: %s", int(e.Code), e.Code, e.err)
}

// Detail returns the text without number and name.
func (e *Error) Detail() string { return e.err.Error() }

// Unwrap returns the formatted error, which wraps the cause if there is one.
func (e *Error) Unwrap() error { return e.err }

// Errorf returns an *Error with the code. Arguments are those of fmt.Errorf; a %w verb sets the cause.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, err: fmt.Errorf(format, args...)}
}

// CodeOf returns the code that err carries, OK for nil, and Internal for an error without one.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}

// String returns the name of the code.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code-%d", int(c))
}

// Describe returns the description of a code.
func Describe(c Code) (Info, bool) {
	info, ok := codes[c]
	return info, ok
}

// Exit returns the process exit status for a code: its number divided by 100, and 1 for Internal.
func (c Code) Exit() int {
	if c == OK {
		return 0
	}
	if c < 100 {
		return 1
	}
	return int(c) / 100
}
