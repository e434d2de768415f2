package wire

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"tanagerspread/core/code"
)

// minCompressedBytes is the minimum size of a response that is compressed.
const minCompressedBytes = 4 << 10

// ReplyCompressed writes callErr if there is one, otherwise a successful
// response, which is compressed when it has at least minCompressedBytes and the
// caller accepts gzip.
func ReplyCompressed(w http.ResponseWriter, r *http.Request, value any, callErr *code.Error) {
	if callErr != nil {
		ReplyError(w, callErr)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		ReplyError(w, code.Wrap(code.Internal, "the response cannot be encoded", err))
		return
	}
	writeJSON(w, r, data)
}

// writeJSON writes data, compressed when it has at least minCompressedBytes and
// the caller accepts gzip.
func writeJSON(w http.ResponseWriter, r *http.Request, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	if len(data) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(data)
	_ = compressor.Close()
}
