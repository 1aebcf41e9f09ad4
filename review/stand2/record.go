package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run. It is safe for concurrent use.
type record struct {
	begun time.Time

	lock sync.Mutex // guards file
	file *os.File
}

// note writes a line with the time since the begin of the case. A line that cannot be written is lost.
func (r *record) note(format string, a ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

// counts counts how requests ended. It is safe for concurrent use.
type counts struct {
	lock sync.Mutex // guards ends
	ends map[string]int
}

func (c *counts) add(end string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.ends == nil {
		c.ends = make(map[string]int)
	}
	c.ends[end]++
}

func (c *counts) String() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return fmt.Sprint(c.ends)
}
