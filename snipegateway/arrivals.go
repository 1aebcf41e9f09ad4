package snipegateway

import (
	"math"
	"sync"
	"time"
)

// arrivalTime is the time constant of the rates of arriving requests.
const arrivalTime = time.Second

// arrivals holds the rates of arriving requests by service. It is safe for concurrent use.
type arrivals struct {
	lock  sync.Mutex // guards rates
	rates map[string]arrivalRate
}

// arrivalRate is a moving average, in requests a second.
type arrivalRate struct {
	perSecond float64
	at        time.Time
}

func (r arrivalRate) now(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(arrivalTime))
}

// add counts a request for a service.
func (a *arrivals) add(service string) {
	now := time.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.rates == nil {
		a.rates = make(map[string]arrivalRate)
	}
	a.rates[service] = arrivalRate{a.rates[service].now(now) + 1/arrivalTime.Seconds(), now}
}

// Arrivals returns the rate of the requests for a service that arrive at this instance, in requests a second.
func (g *Gateway) Arrivals(service string) float64 {
	g.arrivals.lock.Lock()
	defer g.arrivals.lock.Unlock()
	return g.arrivals.rates[service].now(time.Now())
}
