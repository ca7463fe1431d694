package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// Partition is a part of the log with offsets of its own, whose appends may be
// conditional. It keeps its records at least from the newest on that names the
// holder's machines. Its methods may be called concurrently.
type Partition interface {
	// Append adds one record if the partition ends at the given offset, or in
	// any case if that is negative, and returns its offset. After ErrMoved
	// nothing was added; after another error the record may be there all the same.
	Append(ctx context.Context, data []byte, end int64) (int64, error)
	// Read returns records as Log.Read does.
	Read(ctx context.Context, from int64, most int, wait time.Duration) (LogPage, error)
}

// ErrMoved marks an append whose partition has another end than it was to have.
var ErrMoved = errors.New("the partition has another end")

// RemotePartition is a partition behind the platform's protocol.
type RemotePartition struct{ RemoteLog }

// NewPartition returns a partition of the log at the given base URL.
func NewPartition(url, name string, client *http.Client) *RemotePartition {
	return &RemotePartition{RemoteLog{api.NewLogProtobufClient(url, client, twirp.WithClientPathPrefix(PartitionPrefix(name)))}}
}

// TenurePartition returns the name of the partition of a domain's tenure.
func TenurePartition(domain string) string { return "tenure-" + domain }

// PartitionPrefix returns the path prefix of a partition's calls.
func PartitionPrefix(name string) string { return "/partition/" + name + "/twirp" }

// Append implements Partition.
func (p *RemotePartition) Append(ctx context.Context, data []byte, end int64) (int64, error) {
	req := &api.AppendRequest{Data: data}
	if end >= 0 {
		req.End = &end
	}
	r, err := p.client.Append(ctx, req)
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition {
		return 0, errors.Wrapf(ErrMoved, "append: %v", err)
	}
	if err != nil {
		return 0, unavailable("append", err)
	}
	return r.Offset, nil
}
