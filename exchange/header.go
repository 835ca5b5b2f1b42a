package exchange

import (
	"net/http"
	"net/textproto"
	"strings"
)

// EndToEnd returns a copy of the headers without the hop-by-hop ones: those named
// by the Connection header and those in the given lists.
func EndToEnd(h http.Header, lists ...[]string) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, list := range lists {
		for _, name := range list {
			out.Del(name)
		}
	}
	return out
}
