package seamdatagram

// ParseForTest parses the header of a frame and returns only the error.
func ParseForTest(frame []byte) error {
	_, _, err := parseHeader(frame)
	return err
}
