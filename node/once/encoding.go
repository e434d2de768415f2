package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"tanagerspread/core/once"
	"tanagerspread/core/request"
	"tanagerspread/node/ingress"
)

// keyPrefix is the prefix of all records in the key-value service.
const keyPrefix = "once/"

// recordWire is the JSON encoding of a record.
type recordWire struct {
	Claim          string    `json:"claim"`
	Node           string    `json:"node"`
	BodyDigest     string    `json:"body_digest"`
	ClaimedAt      time.Time `json:"claimed_at"`
	Deadline       time.Time `json:"deadline"`
	Status         string    `json:"status"`
	HTTPStatus     int       `json:"http_status,omitempty"`
	ContentType    string    `json:"content_type,omitempty"`
	ResponseDigest string    `json:"response_digest,omitempty"`
	// Kept is true when Body holds the body of the response.
	Kept bool   `json:"kept,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// recordKey returns the key of the record of a request in the key-value service.
func recordKey(claim ingress.Claim) string {
	return keyPrefix + string(claim.Organisation) + "/" + claim.KeyDigest
}

func encodeRecord(record once.Record) ([]byte, error) {
	return json.Marshal(recordWire{
		Claim:          string(record.Claim),
		Node:           record.Node,
		BodyDigest:     record.BodyDigest,
		ClaimedAt:      record.ClaimedAt,
		Deadline:       record.Deadline,
		Status:         string(record.Status),
		HTTPStatus:     record.Response.HTTPStatus,
		ContentType:    record.Response.ContentType,
		ResponseDigest: record.Response.Digest,
		Kept:           record.Response.Kept,
		Body:           record.Response.Body,
	})
}

// decodeRecord decodes a record. A value that cannot be decoded, or whose body
// does not match its digest, becomes a claim without holder, body digest and
// deadline, because its request may have run and no call may run it again.
func decodeRecord(value []byte) once.Record {
	var wire recordWire
	if json.Unmarshal(value, &wire) != nil {
		return once.Record{Status: once.Claimed}
	}
	record := once.Record{
		Claim:      request.ID(wire.Claim),
		Node:       wire.Node,
		BodyDigest: wire.BodyDigest,
		ClaimedAt:  wire.ClaimedAt,
		Deadline:   wire.Deadline,
		Status:     once.Status(wire.Status),
		Response: once.Response{
			HTTPStatus:  wire.HTTPStatus,
			ContentType: wire.ContentType,
			Digest:      wire.ResponseDigest,
			Kept:        wire.Kept,
			Body:        wire.Body,
		},
	}
	if record.Response.Kept && bodyDigest(wire.Body) != wire.ResponseDigest {
		return once.Record{Status: once.Claimed}
	}
	return record
}

// newResponse returns the response as a record stores it. The body is omitted
// when it is larger than once.MaxBodyBytes.
func newResponse(stored ingress.StoredResponse) once.Response {
	response := once.Response{HTTPStatus: stored.Status, ContentType: stored.ContentType, Digest: bodyDigest(stored.Body)}
	if len(stored.Body) <= once.MaxBodyBytes {
		response.Kept = true
		response.Body = stored.Body
	}
	return response
}

// storedResponse returns the response of a record as it is written to the caller.
func storedResponse(record *once.Record) *ingress.StoredResponse {
	response := record.Response
	return &ingress.StoredResponse{Status: response.HTTPStatus, ContentType: response.ContentType, Body: response.Body}
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
