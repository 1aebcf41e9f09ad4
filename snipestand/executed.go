package snipestand

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// maxExecuted bounds how many executions a stand-in remembers.
const maxExecuted = 1 << 17

// Execution is one request that an upstream began to execute.
type Execution struct {
	// Request is the identifier that the system gave the request.
	Request string
	// Key is the caller's request key, Body the body; services only.
	Key  string `json:",omitempty"`
	Body string `json:",omitempty"`
}

// ExecutedList is the answer of GET /Executed.
type ExecutedList struct {
	// Dropped is how many executions found no room; a judge that sees any
	// can tell nothing.
	Dropped    int
	Executions []Execution
}

// Executed is the bounded record of an upstream's executions, safe for
// concurrent use. With a file it outlives a kill of the process: a line is
// written before the execution begins.
type Executed struct {
	lock sync.Mutex // guards the fields below
	list ExecutedList
	file *os.File
}

// Open reads the executions of earlier processes from a file and adds later
// ones to it.
func (x *Executed) Open(name string) error {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "record of executions")
	}
	x.lock.Lock()
	defer x.lock.Unlock()
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxBody)
	for s.Scan() {
		var e Execution
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return errors.Wrap(err, "record of executions")
		}
		x.keep(e)
	}
	if err := s.Err(); err != nil {
		return errors.Wrap(err, "record of executions")
	}
	x.file = f
	return nil
}

// Add records an execution that is about to begin.
func (x *Executed) Add(e Execution) error {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.keep(e)
	if x.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode execution")
	}
	if _, err := x.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "record execution")
	}
	return nil
}

// keep remembers e in the memory. The lock is held.
func (x *Executed) keep(e Execution) {
	if len(x.list.Executions) == maxExecuted {
		x.list.Dropped++
		return
	}
	x.list.Executions = append(x.list.Executions, e)
}

// ServeHTTP answers GET /Executed.
func (x *Executed) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	x.lock.Lock()
	defer x.lock.Unlock()
	writeJSON(w, x.list)
}
