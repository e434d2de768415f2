package deployed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Call is one attempt of a caller.
type Call struct {
	ID       string
	Key      string
	Deadline time.Duration
	// Parts is the prompt of a call to the model; nil means a plain call.
	Parts []Part
	// MaxAnswerTokens is the longest answer in tokens.
	MaxAnswerTokens int
}

// Header returns the headers of the call.
func (c Call) Header() http.Header {
	header := http.Header{
		headerAttempt: {c.ID},
		headerKey:     {c.Key},
		"Deadline-Ms": {strconv.FormatInt(c.Deadline.Milliseconds(), 10)},
	}
	if len(c.Parts) > 0 {
		c.addPrompt(header)
	}
	return header
}

func (c Call) addPrompt(header http.Header) {
	prompt, prefix := 0, ""
	for i, part := range c.Parts {
		if i > 0 {
			prefix += ","
		}
		prompt += part.Tokens
		prefix += fmt.Sprintf("%s:%d", part.ID, part.Tokens)
	}
	header.Set("Model", modelName)
	header.Set("Token-Count", fmt.Sprintf("%d,%d", prompt, c.MaxAnswerTokens))
	header.Set("Prompt-Prefix", prefix)
}

// SpoofHeaders adds headers that only the system may set.
func SpoofHeaders(header http.Header) {
	header.Set(headerTenant, "forged")
	header.Set(headerSalt, "forged")
}

// Attempt returns the identifier of the attempt.
func (r Request) Attempt() string {
	return r.Header.Get(headerAttempt)
}

// Key returns the key of the caller, which must not reach a server.
func (r Request) Key() string {
	return r.Header.Get(headerKey)
}

// Tenant returns the tenant that the system set.
func (r Request) Tenant() string {
	return r.Header.Get(headerTenant)
}

// Salt returns the salt of the cached parts.
func (r Request) Salt() string {
	return r.Header.Get(headerSalt)
}

// CacheSalt returns the salt of a tenant without isolation on a weight version.
func CacheSalt(weights int) string {
	return fmt.Sprintf("%s/%d/", modelName, weights)
}
