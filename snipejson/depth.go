package snipejson

// Depth returns the nesting depth of the arrays and objects of a JSON text. It does not
// recurse, so that it can be called before a recursive decoder. For a text that is not
// JSON, the result is an upper bound of the depth that a decoder reaches.
func Depth(data []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		case '"':
			i = stringEnd(data, i+1)
		}
	}
	return deepest
}

// stringEnd returns the index of the quote that ends the string whose first byte is at i.
// If there is none, the index is not less than the length of data.
func stringEnd(data []byte, i int) int {
	for ; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return i
}
