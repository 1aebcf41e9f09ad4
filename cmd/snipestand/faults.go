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

const orderTimeout = 5 * time.Second

// errOrder is returned when a stand-in refuses an order.
var errOrder = errors.New("refused")

// plan prints a plan of faults.
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

// order sends a JSON document to a stand-in's path: POST /Fault or POST /Cut.
func order(path string, arguments []string) error {
	if len(arguments) != 2 {
		usage()
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return errors.Wrap(err, "address")
	}
	client := &http.Client{Timeout: orderTimeout}
	// The operator names the address.
	response, err := client.Post("http://"+address.String()+path, "application/json", strings.NewReader(arguments[1])) //nolint:gosec // see above
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return errors.Wrapf(errOrder, "%s: %s", response.Status, text)
	}
	return nil
}

// cut sets the mode of one link: ADDRESS LINK=MODE.
func cut(arguments []string) error {
	if len(arguments) != 2 {
		usage()
	}
	link, mode, _ := strings.Cut(arguments[1], "=")
	document, err := json.Marshal(map[string]string{"Link": link, "Mode": mode})
	if err != nil {
		return errors.Wrap(err, "encode cut")
	}
	return order("/Cut", []string{arguments[0], string(document)})
}

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

// executed prints how many executions an upstream has recorded.
func executed(arguments []string) error {
	if len(arguments) != 1 {
		usage()
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return errors.Wrap(err, "address")
	}
	client := &http.Client{Timeout: orderTimeout}
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
