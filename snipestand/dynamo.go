package snipestand

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// These types are the part of the DynamoDB protocol (JSON 1.0 over HTTP) that the project's client
// uses. An attribute value is an object with a single member, whose name is the type.
type (
	attribute struct {
		S string `json:"S,omitempty"`
		N string `json:"N,omitempty"`
		B []byte `json:"B,omitempty"`
	}
	item map[string]attribute

	dynamoWrite struct {
		Item                      item   `json:"Item"`
		Key                       item   `json:"Key"`
		ConditionExpression       string `json:"ConditionExpression"`
		ExpressionAttributeValues item   `json:"ExpressionAttributeValues"`
	}
	dynamoTransaction struct {
		Put            *dynamoWrite `json:"Put"`
		Delete         *dynamoWrite `json:"Delete"`
		ConditionCheck *dynamoWrite `json:"ConditionCheck"`
	}
	dynamoRequest struct {
		Key                       item                `json:"Key"`
		ExpressionAttributeValues item                `json:"ExpressionAttributeValues"`
		ClientRequestToken        string              `json:"ClientRequestToken"`
		TransactItems             []dynamoTransaction `json:"TransactItems"`
	}
)

// targetPrefix precedes the name of the operation in the X-Amz-Target header.
const targetPrefix = "DynamoDB_20120810."

// The exceptions of the protocol that the table reports.
const (
	exceptionCanceled  = "TransactionCanceledException"
	exceptionThrottled = "ProvisionedThroughputExceededException"
	exceptionInvalid   = "ValidationException"
)

// ServeHTTP serves the table over the DynamoDB protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in dynamoRequest
	if !readJSON(w, r, &in) {
		return
	}
	out, err := t.serve(r.Context(), strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix), in)
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		// An error means that the client has disconnected, which an emulator ignores.
		_ = json.NewEncoder(w).Encode(out)
	case errors.Is(err, snipeplatform.ErrConflict):
		dynamoError(w, exceptionCanceled, err)
	case errors.Is(err, snipeplatform.ErrUnavailable):
		dynamoError(w, exceptionThrottled, err)
	case errors.Is(err, snipeplatform.ErrUnknown):
		// The outcome of the write is unknown to the client: the connection closes without an
		// answer, whether or not the write takes effect.
		panic(http.ErrAbortHandler)
	default:
		dynamoError(w, exceptionInvalid, err)
	}
}

// dynamoError answers with an exception of the protocol.
func dynamoError(w http.ResponseWriter, exception string, err error) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	body := map[string]any{"__type": "com.amazonaws.dynamodb.v20120810#" + exception, "message": err.Error()}
	if exception == exceptionCanceled {
		body["CancellationReasons"] = []any{map[string]string{"Code": "ConditionalCheckFailed"}}
	}
	_ = json.NewEncoder(w).Encode(body)
}

var errUnsupported = errors.New("operation not supported")

// serve executes one operation and returns the body of its answer.
func (t *Table) serve(ctx context.Context, operation string, in dynamoRequest) (any, error) {
	switch operation {
	case "GetItem":
		row, err := t.Get(ctx, keyOf(in.Key))
		if errors.Is(err, snipeplatform.ErrNotFound) {
			return struct{}{}, nil
		}
		return map[string]item{"Item": itemOf(row)}, err
	case "Query":
		rows, err := t.List(ctx, in.ExpressionAttributeValues[":partition"].S)
		items := make([]item, 0, len(rows))
		for _, r := range rows {
			items = append(items, itemOf(r))
		}
		return map[string]any{"Items": items, "Count": len(items)}, err
	case "TransactWriteItems":
		var changes []snipeplatform.Change
		for _, x := range in.TransactItems {
			changes = append(changes, changeOf(x))
		}
		return struct{}{}, t.Write(ctx, in.ClientRequestToken, changes)
	}
	return nil, errors.Wrap(errUnsupported, operation)
}

func keyOf(i item) snipeplatform.Key {
	return snipeplatform.Key{Partition: i["Partition"].S, Sort: i["Sort"].S}
}

func itemOf(r snipeplatform.Row) item {
	return item{
		"Partition": {S: r.Partition}, "Sort": {S: r.Sort}, "Operation": {S: r.Operation},
		"Version": {N: strconv.FormatUint(r.Version, 10)}, "Data": {B: r.Data},
	}
}

// changeOf returns the change that one item of a transaction asks for.
func changeOf(x dynamoTransaction) snipeplatform.Change {
	var w *dynamoWrite
	c := snipeplatform.Change{}
	switch {
	case x.Put != nil:
		w = x.Put
		c.Key, c.Data = keyOf(w.Item), w.Item["Data"].B
	case x.Delete != nil:
		w = x.Delete
		c.Key, c.Delete = keyOf(w.Key), true
	case x.ConditionCheck != nil:
		w = x.ConditionCheck
		c.Key = keyOf(w.Key)
	default:
		return c
	}
	if v, ok := w.ExpressionAttributeValues[":expected"]; ok {
		// The client writes decimal numbers. A malformed value becomes version 0, which no existing
		// row has.
		c.Expect, _ = strconv.ParseUint(v.N, 10, 64)
	}
	return c
}
