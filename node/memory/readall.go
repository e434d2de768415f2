package memory

import (
	"errors"
	"io"
)

var (
	// ErrNoMemory means that the budget has no room for the data.
	ErrNoMemory = errors.New("the memory budget is used up")
	// ErrTooLarge means that the data is larger than its limit.
	ErrTooLarge = errors.New("the data is larger than its limit")
)

// firstReadBytes is the capacity of the first buffer of ReadAll.
const firstReadBytes = 512

// ReadAll reads r to its end. It reserves the capacity of each buffer in the account
// before it allocates it, so that bytes count as they arrive. length is the expected
// number of bytes, or negative when it is unknown. The account holds the capacity of
// the returned data; after an error it holds what it held before, without the data.
func ReadAll(r io.Reader, account *Account, length, limit int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := grow(data, account, length)
			if err != nil {
				account.Shrink(int64(cap(data)))
				return nil, err
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF && int64(len(data)) <= limit {
			return data, nil
		}
		if int64(len(data)) > limit {
			err = ErrTooLarge
		}
		if err != nil {
			account.Shrink(int64(cap(data)))
			return nil, err
		}
	}
}

// grow returns data in a buffer of twice its capacity, or one that holds the expected
// length and one byte more, which the read of the end needs.
func grow(data []byte, account *Account, length int64) ([]byte, error) {
	capacity := max(2*int64(cap(data)), firstReadBytes)
	if length >= int64(len(data)) {
		capacity = min(capacity, length+1)
	}
	// The old buffer is garbage after the copy, so only the difference is reserved.
	if !account.Grow(capacity - int64(cap(data))) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	return grown, nil
}
