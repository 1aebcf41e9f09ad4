package snipeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipebound"
)

// maxInstanceList bounds the JSON document of the instance list in bytes.
const maxInstanceList = 1 << 20

// InstancesPath is the path at which the platform serves its instance list.
const InstancesPath = "/instances"

// ListedInstance is an entry of the instance list. The list lags behind: it contains instances that
// have ended and lacks ones that have just started.
type ListedInstance struct {
	Name    string
	Address netip.AddrPort
	// Leaving is set if the platform is about to stop the instance.
	Leaving bool `json:",omitempty"`
}

// InstanceList reads the platform's list of the instances of this system, a JSON document that is
// served over HTTP.
type InstanceList struct {
	// Address is the address at which the platform serves the list.
	Address netip.AddrPort
	// Timeout bounds each request.
	Timeout time.Duration
}

var listClient = &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: snipebound.HeaderBytes}}

// instanceDocument is the JSON document of the list.
type instanceDocument struct{ Instances []ListedInstance }

// Read requests the list and returns its entries. The error wraps ErrUnavailable if the request or
// the decoding of the list failed.
func (l InstanceList) Read(ctx context.Context) ([]ListedInstance, error) {
	bounded, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	url := "http://" + l.Address.String() + InstancesPath
	r, err := http.NewRequestWithContext(bounded, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := listClient.Do(r)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: status %d", response.StatusCode)
	}
	var d instanceDocument
	data, err := snipebound.ReadAll(response.Body, maxInstanceList)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: %v", err)
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "instance list: %v", err)
	}
	return d.Instances, nil
}
