package gate

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/plantainseam/plantainseam/internal/request"
	"github.com/plantainseam/plantainseam/internal/result"
)

// HTTP headers that the gate reads or sets.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "Plantainseam-Deadline" // RFC 3339
	HeaderResult   = "Plantainseam-Result"   // code number and name
)

// maxKeyLength bounds the length of an idempotency key in bytes.
const maxKeyLength = 256

// hopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// sortedEndToEnd returns the end-to-end headers sorted by name.
func sortedEndToEnd(h http.Header) []request.Header {
	h = endToEnd(h)
	var out []request.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, request.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// resultValue returns the value of HeaderResult for a code.
func resultValue(code result.Code) string { return fmt.Sprintf("%d %s", int(code), code) }

// statusOf returns the HTTP status for a code that is not OK. Refusals after which a retry may succeed are 503; an
// unknown outcome is 502, which clients do not retry automatically.
func statusOf(code result.Code) int {
	switch code {
	case result.RequestDeadlinePassed:
		return http.StatusGatewayTimeout
	case result.RequestUpstreamRefused, result.RequestOutcomeUnknown, result.RequestAnswerTruncated:
		return http.StatusBadGateway
	case result.RequestKeyMissing, result.RequestMalformed:
		return http.StatusBadRequest
	case result.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.RequestKeyMismatch:
		return http.StatusConflict
	case result.RequestAnswerNotRetained:
		return http.StatusGone
	case result.Internal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// writeCode answers with a result code of the gate instead of an upstream's answer.
func writeCode(w http.ResponseWriter, code result.Code) {
	info, _ := result.Describe(code)
	text := fmt.Sprintf("PS%04d %s: %s\n", int(code), code, info.Meaning)
	w.Header().Set(HeaderResult, resultValue(code))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.WriteHeader(statusOf(code))
	_, _ = w.Write([]byte(text))
}

// writeAnswer writes a whole answer of the upstream to the caller.
func writeAnswer(w http.ResponseWriter, method string, a *request.Answer) {
	h := w.Header()
	for _, line := range a.Header {
		h.Add(line.Name, line.Value)
	}
	h.Set(HeaderResult, resultValue(result.OK))
	if method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
