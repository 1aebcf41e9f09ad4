package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
)

// requestTimeout bounds a request to an emulator.
const requestTimeout = 5 * time.Second

// errRefused reports that an emulator has refused a request.
var errRefused = errors.New("refused")

// plan prints a fault plan.
func plan(arguments []string) error {
	f := flag.NewFlagSet("snipestand plan", flag.ExitOnError)
	s := snipestand.PlanShape{}
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the plan")
	f.IntVar(&s.Faults, "faults", 8, "number of faults")
	f.DurationVar(&s.Length, "length", 20*time.Second, "time by which all faults have ended")
	f.IntVar(&s.Instances, "instances", 3, "number of instances")
	f.IntVar(&s.Engines, "engines", 3, "number of engines")
	f.IntVar(&s.Services, "services", 2, "number of upstreams of the service")
	f.DurationVar(&s.Lease, "lease", 5*time.Second, "time after which a frozen instance has lost its lease")
	// ExitOnError: Parse does not return an error.
	_ = f.Parse(arguments)
	steps, err := snipestand.Plan(s)
	if err != nil {
		return err
	}
	return snipestand.WritePlan(os.Stdout, steps)
}

// post sends a JSON document to a path of an emulator: POST /Fault or POST /Cut. The arguments are
// the address and the document.
func post(path string, arguments []string) error {
	if len(arguments) != 2 {
		usage()
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return errors.Wrap(err, "address")
	}
	client := &http.Client{Timeout: requestTimeout}
	// The operator names the address.
	response, err := client.Post("http://"+address.String()+path, "application/json", strings.NewReader(arguments[1])) //nolint:gosec // see above
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return errors.Wrapf(errRefused, "%s: %s", response.Status, text)
	}
	return nil
}

// cut sets the mode of one link of a cutter. The arguments are the cutter's address and LINK=MODE.
func cut(arguments []string) error {
	if len(arguments) != 2 {
		usage()
	}
	link, mode, _ := strings.Cut(arguments[1], "=")
	document, err := json.Marshal(map[string]string{"Link": link, "Mode": mode})
	if err != nil {
		return errors.Wrap(err, "encode cut")
	}
	return post("/Cut", []string{arguments[0], string(document)})
}

// cutter defines the flags of a cutter. The returned function opens its links and returns its
// handler.
func cutter(f *flag.FlagSet) func() http.Handler {
	c := &snipestand.Cutter{}
	f.Func("link", "a link, `LISTEN=TARGET`; may be given again", func(text string) error {
		listen, target, _ := strings.Cut(text, "=")
		var l snipestand.Link
		var err error
		if l.Listen, err = netip.ParseAddrPort(listen); err != nil {
			return err
		}
		if l.Target, err = netip.ParseAddrPort(target); err != nil {
			return err
		}
		c.Links = append(c.Links, l)
		return nil
	})
	return func() http.Handler {
		if err := c.Listen(); err != nil {
			fmt.Fprintln(os.Stderr, "snipestand:", err)
			os.Exit(exitFailed)
		}
		return c.Handler()
	}
}

// executed prints the number of executions of an upstream, including those that it has not recorded
// because its list was full.
func executed(arguments []string) error {
	if len(arguments) != 1 {
		usage()
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return errors.Wrap(err, "address")
	}
	client := &http.Client{Timeout: requestTimeout}
	// The operator names the address.
	response, err := client.Get("http://" + address.String() + "/Executed") //nolint:gosec // see above
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var list snipestand.ExecutedList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return errors.Wrap(err, "decode executions")
	}
	fmt.Println(len(list.Executions) + list.Dropped)
	return nil
}
