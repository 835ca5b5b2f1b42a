package exchange

import (
	"net/http"
	"net/textproto"
	"strings"
)

// EndToEnd returns a message's headers without those of its connection: the ones
// that Connection names, and the given lists.
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
