package snipeplatform

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/go-faster/errors"
)

// refusedCodes are the error codes with which the service refuses a request that has had no effect.
var refusedCodes = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"ResourceNotFoundException":              true,
	"ValidationException":                    true,
	"AccessDeniedException":                  true,
	"UnrecognizedClientException":            true,
	"IdempotentParameterMismatchException":   true,
}

// conditionFailed is the cancellation reason of a transaction with a condition that did not hold.
// With other reasons a transaction conflicted with another one or was throttled.
const conditionFailed = "ConditionalCheckFailed"

// sendTracker records whether the headers of a request have been written to a connection.
type sendTracker struct{ headersWritten atomic.Bool }

// trace returns a context whose requests record that their headers have been written. Headers are
// written before the body, so the service cannot execute a request whose headers were not written.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { s.headersWritten.Store(true) }})
}

// classifyWriteError wraps the error of a failed write in ErrConflict if a condition did not hold,
// in ErrUnavailable if the write was refused or not sent, and otherwise in ErrUnknown.
func (s *sendTracker) classifyWriteError(err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		for _, r := range canceled.CancellationReasons {
			if r.Code != nil && *r.Code == conditionFailed {
				return errors.Wrap(ErrConflict, canceled.ErrorMessage())
			}
		}
		return errors.Wrap(ErrUnavailable, canceled.ErrorMessage())
	}
	var refused interface {
		error
		ErrorCode() string
	}
	if errors.As(err, &refused) && refusedCodes[refused.ErrorCode()] {
		return errors.Wrapf(ErrUnavailable, "write: %v", err)
	}
	if !s.headersWritten.Load() {
		return errors.Wrapf(ErrUnavailable, "write not sent: %v", err)
	}
	return errors.Wrapf(ErrUnknown, "write: %v", err)
}
