package snipeplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// maxInstanceList bounds the answer of the instance list in bytes.
const maxInstanceList = 1 << 20

// InstancesPath is where the platform serves its instance list.
const InstancesPath = "/instances"

// ListedInstance is an instance as the platform lists it. The list lags behind
// reality: it names instances that are gone and lacks new ones.
type ListedInstance struct {
	Name    string
	Address netip.AddrPort
	// Leaving tells that the platform is about to stop it.
	Leaving bool `json:",omitempty"`
}

// InstanceList is the platform's list of the system's own instances, served as
// a JSON document over HTTP.
type InstanceList struct {
	// Address is where the platform serves the list.
	Address netip.AddrPort
	// Timeout bounds each request.
	Timeout time.Duration
}

// instanceDocument is the JSON document of the list.
type instanceDocument struct{ Instances []ListedInstance }

// Read returns the list. Its errors wrap ErrUnavailable.
func (l InstanceList) Read(ctx context.Context) ([]ListedInstance, error) {
	bounded, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	url := "http://" + l.Address.String() + InstancesPath
	r, err := http.NewRequestWithContext(bounded, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: status %d", response.StatusCode)
	}
	var d instanceDocument
	if err := json.NewDecoder(io.LimitReader(response.Body, maxInstanceList)).Decode(&d); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: %v", err)
	}
	return d.Instances, nil
}
