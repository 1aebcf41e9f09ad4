package snipelog

import (
	"log"
	"strings"
)

// connectionLog takes the errors that net/http reports about single connections, one a line.
type connectionLog struct {
	logger   *Logger
	listener string
}

// Write implements io.Writer. It never fails.
func (c *connectionLog) Write(line []byte) (int, error) {
	c.logger.Log(ConnectionFailed, Fields{"Listener": c.listener, "Error": strings.TrimSpace(string(line))})
	return len(line), nil
}

// ServerErrors returns the error log of an http.Server with the given name.
func (l *Logger) ServerErrors(listener string) *log.Logger {
	return log.New(&connectionLog{logger: l, listener: listener}, "", 0)
}
