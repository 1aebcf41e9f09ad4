package snipeplatform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipebound"
)

// Names of the attributes of a row, and expressions of conditions on them.
const (
	attributePartition = "Partition"
	attributeSort      = "Sort"
	attributeVersion   = "Version"
	attributeOperation = "Operation"
	attributeData      = "Data"

	conditionAbsent  = "attribute_not_exists(Version)"
	conditionVersion = "Version = :expected"
	keyCondition     = "#partition = :partition"
)

// maxAnswer bounds an answer of the table service in bytes. The service limits a page to 1 MB before encoding.
const maxAnswer = 8 << 20

// Dynamo holds the settings of a table that is served over the DynamoDB protocol.
type Dynamo struct {
	// Address is the address at which the service listens.
	Address netip.AddrPort
	// Table is the name of the table.
	Table string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
	// Timeout bounds each request.
	Timeout time.Duration
	// Dial opens a connection to the service. If it is nil, the default dialer of net/http is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Open returns a Table that uses the service. It makes no request.
func (d Dynamo) Open() Table {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String("http://" + d.Address.String()),
		Region:       "platform",
		Credentials:  aws.CredentialsProviderFunc(d.credentials),
		// Callers decide about retries. A retry by the library could hide that the outcome of an
		// earlier attempt is unknown.
		Retryer:    aws.NopRetryer{},
		HTTPClient: &http.Client{Timeout: d.Timeout, Transport: &snipebound.Transport{RoundTripper: d.transport(), Bound: maxAnswer}},
	})
	t := &dynamoTable{client: client, table: d.Table}
	return Table{Get: t.get, List: t.list, Write: t.write}
}

func (d Dynamo) transport() http.RoundTripper {
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &snipeanswer.Transport{RoundTripper: &http.Transport{
		DialContext: snipeanswer.Dial(dial), MaxResponseHeaderBytes: snipebound.HeaderBytes,
	}}
}

func (d Dynamo) credentials(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: d.AccessKey, SecretAccessKey: d.SecretKey}, nil
}

// dynamoTable implements the functions of a Table.
type dynamoTable struct {
	client *dynamodb.Client
	table  string
}

func (t *dynamoTable) get(ctx context.Context, key Key) (Row, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.table),
		Key:            keyAttributes(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, errors.Wrapf(ErrUnavailable, "get %s/%s: %v", key.Partition, key.Sort, err)
	}
	if len(out.Item) == 0 {
		return Row{}, errors.Wrapf(ErrNotFound, "get %s/%s", key.Partition, key.Sort)
	}
	return decodeRow(out.Item)
}

func (t *dynamoTable) list(ctx context.Context, partition string) ([]Row, error) {
	var rows []Row
	var start map[string]types.AttributeValue
	for {
		out, err := t.client.Query(ctx, &dynamodb.QueryInput{
			TableName:                 aws.String(t.table),
			ConsistentRead:            aws.Bool(true),
			KeyConditionExpression:    aws.String(keyCondition),
			ExpressionAttributeNames:  map[string]string{"#partition": attributePartition},
			ExpressionAttributeValues: map[string]types.AttributeValue{":partition": stringAttribute(partition)},
			ExclusiveStartKey:         start,
		})
		if err != nil {
			return nil, errors.Wrapf(ErrUnavailable, "list %s: %v", partition, err)
		}
		for _, item := range out.Items {
			r, err := decodeRow(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, r)
		}
		if len(out.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		start = out.LastEvaluatedKey
	}
}

func (t *dynamoTable) write(ctx context.Context, operation string, changes []Change) error {
	items := make([]types.TransactWriteItem, 0, len(changes))
	for _, c := range changes {
		items = append(items, t.transactItem(operation, c))
	}
	var tracker sendTracker
	_, err := t.client.TransactWriteItems(tracker.trace(ctx), &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(operation),
		TransactItems:      items,
	})
	if err == nil {
		return nil
	}
	return tracker.classifyWriteError(err)
}

// transactItem encodes a change as a conditional delete, condition check or put.
func (t *dynamoTable) transactItem(operation string, c Change) types.TransactWriteItem {
	condition, values := versionCondition(c.Expect)
	switch {
	case c.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: aws.String(t.table), Key: keyAttributes(c.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case c.Data == nil:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: aws.String(t.table), Key: keyAttributes(c.Key),
			ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
	item := keyAttributes(c.Key)
	item[attributeVersion] = numberAttribute(c.Expect + 1)
	item[attributeOperation] = stringAttribute(operation)
	item[attributeData] = &types.AttributeValueMemberB{Value: c.Data}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(t.table), Item: item,
		ConditionExpression: condition, ExpressionAttributeValues: values,
	}}
}

// versionCondition returns the expression of the condition that a row has the version, and the
// values in it. Version 0 requires that the row does not exist.
func versionCondition(version uint64) (*string, map[string]types.AttributeValue) {
	if version == 0 {
		return aws.String(conditionAbsent), nil
	}
	return aws.String(conditionVersion), map[string]types.AttributeValue{":expected": numberAttribute(version)}
}

func keyAttributes(k Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringAttribute(k.Partition),
		attributeSort:      stringAttribute(k.Sort),
	}
}

func stringAttribute(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttribute(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

// decodeRow decodes the attributes of a row. Its errors wrap ErrUnavailable.
func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	partition, ok1 := item[attributePartition].(*types.AttributeValueMemberS)
	sort, ok2 := item[attributeSort].(*types.AttributeValueMemberS)
	version, ok3 := item[attributeVersion].(*types.AttributeValueMemberN)
	operation, ok4 := item[attributeOperation].(*types.AttributeValueMemberS)
	data, ok5 := item[attributeData].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return Row{}, errors.Wrap(ErrUnavailable, "row lacks an attribute")
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, errors.Wrapf(ErrUnavailable, "row version: %v", err)
	}
	return Row{
		Key:     Key{Partition: partition.Value, Sort: sort.Value},
		Version: n, Operation: operation.Value, Data: data.Value,
	}, nil
}
