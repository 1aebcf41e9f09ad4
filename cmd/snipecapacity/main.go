// Command snipecapacity measures what running instances use and renders the
// capacity page.
//
// Usage:
//
//	snipecapacity sample -instances IP:PORT,... [-interval D]
//	snipecapacity render [-inputs FILE]
//	snipecapacity sweep -command TEXT -date DATE [-inputs FILE] < OUTPUT
//
// sweep adds the table that the users' benchmark printed to the inputs, replacing the
// one of the same command, and writes the inputs to standard output.
//
// Exit codes: 0 done, 1 failed, 2 bad arguments.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipecapacity"
)

const (
	exitFailed = 1
	exitUsage  = 2

	scrapeTimeout = 10 * time.Second
)

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	f := flag.NewFlagSet("snipecapacity "+os.Args[1], flag.ExitOnError)
	instances := f.String("instances", "", "operators' addresses of the instances, `IP:PORT,...`")
	interval := f.Duration("interval", 20*time.Second, "time between the two scrapes")
	inputs := f.String("inputs", "docs/capacity.json", "inputs `file`")
	command := f.String("command", "", "`command` that printed the sweep")
	date := f.String("date", "", "its `date`")
	// With ExitOnError, Parse does not return an error.
	_ = f.Parse(os.Args[2:])
	var err error
	switch os.Args[1] {
	case "sample":
		err = sample(*instances, *interval)
	case "render":
		err = render(*inputs)
	case "sweep":
		err = sweep(*inputs, *command, *date)
	default:
		usage()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipecapacity:", err)
		os.Exit(exitFailed)
	}
}

func usage() {
	fmt.Fprintln(os.Stderr, "usage: snipecapacity sample|render|sweep [flags]")
	os.Exit(exitUsage)
}

// sample observes the instances whose addresses list names, separated by commas, and
// prints their mean as JSON.
func sample(list string, interval time.Duration) error {
	var instances []netip.AddrPort
	for _, s := range strings.Split(list, ",") {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return err
		}
		instances = append(instances, a)
	}
	s, err := snipecapacity.Observe(context.Background(), &http.Client{Timeout: scrapeTimeout}, instances, interval)
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// sweep adds the sweep on standard input to the inputs and prints them.
func sweep(inputs, command, date string) error {
	in, err := readInputs(inputs)
	if err != nil {
		return err
	}
	s, err := snipecapacity.ParseSweep(os.Stdin)
	if err != nil {
		return err
	}
	s.Command, s.Date = command, date
	in.AddSweep(s)
	e := json.NewEncoder(os.Stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(in)
}

// readInputs reads and checks the inputs file.
func readInputs(inputs string) (*snipecapacity.Inputs, error) {
	data, err := os.ReadFile(inputs)
	if err != nil {
		return nil, err
	}
	return snipecapacity.Decode(data)
}

// render prints the page.
func render(inputs string) error {
	in, err := readInputs(inputs)
	if err != nil {
		return err
	}
	page, err := in.Render()
	if err != nil {
		return err
	}
	_, err = fmt.Print(page)
	return err
}
