package ingress

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// The headers that a caller may set.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "Tanagerspread-Deadline-Ms"
	headerClass          = "Tanagerspread-Class"
)

const (
	// maxIdempotencyKeyBytes is the longest idempotency key that is accepted.
	maxIdempotencyKeyBytes = 255
	// maxTimeToDeadline is the longest time until the deadline that a caller may
	// set.
	maxTimeToDeadline = time.Hour
	// defaultTimeToDeadline is the time until the deadline of a request whose
	// caller sets none.
	defaultTimeToDeadline = 10 * time.Minute
)

// headerFields are the fields of a request that come from its headers.
type headerFields struct {
	tokenDigest request.Digest
	keyDigest   string
	class       request.Class
	deadline    time.Time
}

// request returns the request of a call with these headers.
func (f headerFields) request(id request.ID, route request.Route, bodyDigest string) request.Request {
	return request.Request{
		ID:          id,
		Route:       route,
		Deadline:    f.deadline,
		TokenDigest: f.tokenDigest,
		Class:       f.class,
		KeyDigest:   f.keyDigest,
		BodyDigest:  bodyDigest,
	}
}

// readHeaders decodes the headers of a call. It returns the error to refuse the
// call with when they are missing or malformed.
func readHeaders(header http.Header, now time.Time) (headerFields, *code.Error) {
	var fields headerFields
	if err := checkSingleHeaders(header); err != nil {
		return fields, err
	}
	token, err := bearerToken(header)
	if err != nil {
		return fields, err
	}
	fields.tokenDigest = sha256.Sum256([]byte(token))
	if len(header.Get(headerClass)) > maxNameBytes {
		return fields, code.Newf(code.MalformedHeader, "%s is longer than %d bytes", headerClass, maxNameBytes)
	}
	fields.class = request.Class(header.Get(headerClass))
	if fields.keyDigest, err = keyDigest(header); err != nil {
		return fields, err
	}
	fields.deadline, err = deadline(header, now)
	return fields, err
}

// checkSingleHeaders returns an error when a header that must be unique is
// repeated, since two hops could read different values.
func checkSingleHeaders(header http.Header) *code.Error {
	for _, name := range []string{"Authorization", headerIdempotencyKey, headerDeadline, headerClass, "Content-Type"} {
		if len(header.Values(name)) > 1 {
			return code.Newf(code.MalformedHeader, "header %s is given more than once", name)
		}
	}
	return nil
}

func bearerToken(header http.Header) (string, *code.Error) {
	scheme, token, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", code.New(code.MissingToken, "the request has no bearer token")
	}
	return token, nil
}

// keyDigest returns the digest of the idempotency key, or an empty text when the
// call has none.
func keyDigest(header http.Header) (string, *code.Error) {
	if len(header.Values(headerIdempotencyKey)) == 0 {
		return "", nil
	}
	key := header.Get(headerIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return "", code.Newf(code.MalformedHeader, "Idempotency-Key is empty or longer than %d bytes", maxIdempotencyKeyBytes)
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:]), nil
}

// deadline returns the deadline of the call: now plus the milliseconds in the
// deadline header, or plus defaultTimeToDeadline without the header.
func deadline(header http.Header, now time.Time) (time.Time, *code.Error) {
	text := header.Get(headerDeadline)
	if text == "" {
		return now.Add(defaultTimeToDeadline), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeToDeadline.Milliseconds() {
		return now, code.Newf(code.MalformedHeader, "%s is not a number of milliseconds up to %d", headerDeadline, maxTimeToDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}
