// Package code defines the numbered result codes of the system and the error
// type that carries them.
package code

import "fmt"

// Code is the number of a result code.
type Code int

// Execution tells a caller whether its request ran.
type Execution string

// The execution classes.
const (
	// NotRun means that no backend server ran any part of the request.
	NotRun Execution = "not-run"
	// Ran means that a backend server ran the request to completion.
	Ran Execution = "ran"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
)

// Retry is the advice to a caller.
type Retry string

// The retry advice of a code.
const (
	// RetryNever means that the same request is refused again.
	RetryNever Retry = "never"
	// RetryLater means that the same request may succeed after a delay.
	RetryLater Retry = "later"
	// RetrySameKey means that only the same idempotency key may be sent again.
	RetrySameKey Retry = "same-key"
)

// Info describes one code.
type Info struct {
	Code       Code
	Name       string
	HTTPStatus int
	Execution  Execution
	Retry      Retry
	Meaning    string
}

// Error is the error type of the system. It carries a numbered code.
type Error struct {
	Code   Code
	Detail string
	Cause  error
}

// New returns an error with a code and a detail. The detail is shown to callers
// and must contain no prompt, response or token.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Detail: detail}
}

// Newf is New with a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return New(c, fmt.Sprintf(format, args...))
}

// Wrap returns an error with a code, a detail as in New, and a cause that is
// logged but not shown to callers.
func Wrap(c Code, detail string, cause error) *Error {
	return &Error{Code: c, Detail: detail, Cause: cause}
}

// Error returns the code, its name, the detail and the cause as one line.
func (e *Error) Error() string {
	info := Lookup(e.Code)
	text := fmt.Sprintf("%d %s: %s", e.Code, info.Name, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Info returns the description of the error's code.
func (e *Error) Info() Info {
	return Lookup(e.Code)
}

// Lookup returns the description of a code, or that of Internal, whose execution
// class is unknown, when the code is not defined.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// All returns every code in ascending order.
func All() []Info {
	return append([]Info(nil), table...)
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(table))
	for _, info := range table {
		index[info.Code] = info
	}
	return index
}
