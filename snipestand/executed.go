package snipestand

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// maxExecuted is the largest number of executions that an emulator keeps in memory.
const maxExecuted = 1 << 17

// Execution is one request that an upstream began to execute.
type Execution struct {
	// Request is the identifier that the serving layer gave the request.
	Request string
	// Key is the caller's request key, which only services record. Body is the request body, or the
	// prompt that crashes an engine.
	Key  string `json:",omitempty"`
	Body string `json:",omitempty"`
}

// ExecutedList is the body of the answer to GET /Executed.
type ExecutedList struct {
	// Dropped is the number of executions that were not recorded because the list was full. If it
	// is not zero, the list proves nothing.
	Dropped    int
	Executions []Execution
}

// Executed is the bounded record of the executions of an upstream. It is safe for concurrent use.
// With a file the record survives a kill of the process: each line is written before its execution
// begins.
type Executed struct {
	lock sync.Mutex // guards the fields below
	list ExecutedList
	file *os.File
}

// Open reads the executions of earlier processes from a file. Later executions are appended to it.
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

// Add records an execution that is about to begin. If the file cannot be written, it returns an
// error, and the execution is in the list in memory only.
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

// keep adds an execution to the list in memory. The lock is held.
func (x *Executed) keep(e Execution) {
	if len(x.list.Executions) == maxExecuted {
		x.list.Dropped++
		return
	}
	x.list.Executions = append(x.list.Executions, e)
}

// ServeHTTP answers GET /Executed with the list of executions.
func (x *Executed) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	x.lock.Lock()
	defer x.lock.Unlock()
	writeJSON(w, x.list)
}
