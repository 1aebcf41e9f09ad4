// Command snipestand runs an emulator (stand-in) of one external system for tests and the
// demonstration, or sends requests to a running one.
//
// Usage:
//
//	snipestand platform -address IP:PORT [-rate N] [-concurrent N] [-load D] [-lag D]
//	snipestand engine -address IP:PORT [-slots N] [-batch N] [-token D] [-checks-fence] [-weights IP:PORT] [-record FILE]
//	snipestand cutter -address IP:PORT -link LISTEN=TARGET...
//	snipestand fault IP:PORT JSON
//	snipestand cut IP:PORT LISTEN=MODE
//	snipestand executed IP:PORT
//	snipestand plan [-seed N] [-faults N] [-length D]
//	snipestand service -address IP:PORT [-name NAME] [-delay D] [-record FILE]
package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	exitFailed = 1
	exitUsage  = 2
	exitCrash  = 3

	readHeaderTimeout = 10 * time.Second
)

func main() {
	if len(os.Args) < 2 {
		usage()
	}
	commands := map[string]func([]string) error{
		"plan":     plan,
		"cut":      cut,
		"executed": executed,
		"fault":    func(a []string) error { return post("/Fault", a) },
	}
	if c, ok := commands[os.Args[1]]; ok {
		if err := c(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "snipestand:", err)
			os.Exit(exitFailed)
		}
		return
	}
	f := flag.NewFlagSet("snipestand "+os.Args[1], flag.ExitOnError)
	address := f.String("address", "", "`IP:PORT` to listen on")
	var handler func() http.Handler
	switch os.Args[1] {
	case "platform":
		handler = platform(f)
	case "engine":
		handler = engine(f)
	case "service":
		handler = service(f)
	case "cutter":
		handler = cutter(f)
	default:
		usage()
	}
	// ExitOnError: Parse does not return an error.
	_ = f.Parse(os.Args[2:])
	if _, err := netip.ParseAddrPort(*address); err != nil {
		fmt.Fprintln(os.Stderr, "snipestand: -address:", err)
		os.Exit(exitUsage)
	}
	server := &http.Server{Addr: *address, Handler: handler(), ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintln(os.Stderr, "snipestand:", server.ListenAndServe())
	os.Exit(exitFailed)
}

// usage prints the usage and exits.
func usage() {
	fmt.Fprintln(os.Stderr, "usage: snipestand platform|engine|service|cutter -address IP:PORT [flags]")
	fmt.Fprintln(os.Stderr, "       snipestand fault IP:PORT JSON | cut IP:PORT LISTEN=MODE | executed IP:PORT | plan [flags]")
	os.Exit(exitUsage)
}

// platform defines the flags of the platform and returns a constructor of its handler.
func platform(f *flag.FlagSet) func() http.Handler {
	w := &snipestand.Weights{}
	f.Float64Var(&w.PerSecond, "rate", 4.5, "loads per second of the weight store")
	f.IntVar(&w.Concurrent, "concurrent", 3, "loads at full speed at once")
	f.DurationVar(&w.Duration, "load", 200*time.Millisecond, "time of one load at full speed")
	i := &snipestand.Instances{}
	f.DurationVar(&i.Lag, "lag", 5*time.Second, "time until a change of the instance list shows")
	p := &snipestand.Platform{Table: snipestand.NewTable(), Weights: w, Instances: i}
	return p.Handler
}

// engine defines the flags of an engine and returns a constructor of its handler.
func engine(f *flag.FlagSet) func() http.Handler {
	e := &snipestand.Engine{Crash: func() { os.Exit(exitCrash) }}
	f.IntVar(&e.Slots, "slots", 8, "adapter slots")
	f.IntVar(&e.Batch, "batch", 32, "answers produced at once")
	f.DurationVar(&e.TokenTime, "token", 5*time.Millisecond, "time between tokens")
	f.BoolVar(&e.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	f.TextVar(&e.Weights, "weights", netip.AddrPort{}, "`IP:PORT` of the weight store")
	f.Func("record", "`file` that keeps the executed calls across restarts", e.Executed.Open)
	return e.Handler
}

// service defines the flags of a service and returns a constructor of its handler.
func service(f *flag.FlagSet) func() http.Handler {
	s := &snipestand.Service{}
	f.StringVar(&s.Name, "name", "service", "name put into answers")
	f.DurationVar(&s.Delay, "delay", 0, "time that an answer takes")
	f.Func("record", "`file` that keeps the executed calls across restarts", s.Executed.Open)
	return s.Handler
}
