package snipecall

import (
	"net/http"
	"strings"
)

// maxKeyLength bounds a caller's key in bytes. No longer key is declared, and hashing the key that
// a caller sends must not cost more than refusing it.
const maxKeyLength = 4096

// BearerKey returns the key in a caller's Authorization header. It returns false if the header is
// missing, given more than once, or of another scheme, and if the key is empty or longer than a
// key can be. The scheme is not case-sensitive.
func BearerKey(h http.Header) (string, bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyLength {
		return "", false
	}
	return key, true
}
