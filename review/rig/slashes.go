package main

import (
	"fmt"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

func init() { plays["slashes"] = slashes }

// slashes sends requests whose path begins with two slashes, on a route with the prefix "/".
func slashes(w *world) ([]string, error) {
	if err := w.declare(snipestand.RouteNonIdempotent, "/"); err != nil {
		return nil, err
	}
	u := &upstream{id: "i-1", service: plain}
	if err := w.addUpstream(u); err != nil {
		return nil, err
	}
	if err := w.start(1); err != nil {
		return nil, err
	}
	target := "/orders/17"
	if w.trouble {
		target = "//orders/17"
	}
	for n := range 5 {
		w.send(w.instances[0], "POST", target, fmt.Sprintf("request-%d", n), 2*time.Second)
	}
	var breaches []string
	for _, a := range u.runs() {
		if a.target != target {
			breaches = append(breaches, fmt.Sprintf("UNASKED: %s was sent with the path %q and ran with %q", a.id, target, a.target))
		}
	}
	return breaches, nil
}
