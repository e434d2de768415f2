package deployed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Part is one prompt part with its length in tokens.
type Part struct {
	ID     string
	Tokens int
}

// Call is one call that a caller sends.
type Call struct {
	// ID is the attempt identifier.
	ID string
	// Key is the caller's API key.
	Key      string
	Deadline time.Duration
	// Parts is the prompt of a call to a model server; empty means a call to a
	// plain service.
	Parts []Part
	// MaxAnswerTokens limits the answer of a model server.
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

// SpoofHeaders sets headers that only the nodes may set, as a dishonest caller
// would.
func SpoofHeaders(header http.Header) {
	header.Set(headerTenant, "forged")
	header.Set(headerSalt, "forged")
}

// Attempt returns the attempt identifier.
func (r Request) Attempt() string {
	return r.Header.Get(headerAttempt)
}

// Key returns the caller's API key, or an empty string. Nodes must not forward
// the key to a server.
func (r Request) Key() string {
	return r.Header.Get(headerKey)
}

// Tenant returns the tenant that the node set.
func (r Request) Tenant() string {
	return r.Header.Get(headerTenant)
}

// Salt returns the salt under which the server caches prompt parts.
func (r Request) Salt() string {
	return r.Header.Get(headerSalt)
}

// CacheSalt returns the salt that a node sets for a tenant without cache
// isolation when the server has loaded the weight version.
func CacheSalt(weights int) string {
	return fmt.Sprintf("%s/%d/", modelName, weights)
}
