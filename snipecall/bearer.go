package snipecall

import (
	"net/http"
	"strings"
)

// maxKey bounds a caller's key in bytes: no longer one is declared, and digesting what a caller
// sends must not cost more than refusing it.
const maxKey = 4096

// BearerKey returns the key that a caller's header gives. There is none where the header is
// missing, given twice, of another scheme, or longer than a key can be. The scheme is understood
// in any case.
func BearerKey(h http.Header) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKey {
		return "", false
	}
	return key, true
}
