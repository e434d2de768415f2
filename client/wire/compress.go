package wire

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"tanagerspread/core/code"
)

// compressBytes is the least size of a response that is compressed.
const compressBytes = 4 << 10

// ReplyLarge writes a successful response, compressed when it is large and the
// caller accepts that, or the error if there is one.
func ReplyLarge(w http.ResponseWriter, r *http.Request, value any, failed *code.Error) {
	if failed != nil {
		Refuse(w, failed)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		Refuse(w, code.Wrap(code.Internal, "the response cannot be encoded", err))
		return
	}
	write(w, r, data)
}

// write sends JSON, compressed when it is large and the caller accepts that.
func write(w http.ResponseWriter, r *http.Request, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	if len(data) < compressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(data)
	_ = compressor.Close()
}
