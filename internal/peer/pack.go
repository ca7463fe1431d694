package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	api "github.com/mimosaspool/mimosaspool/api/peer"
)

const (
	// packFrom is the size in bytes from which on records are compressed: bytes
	// between regions are paid for.
	packFrom = 400
	// maxUnpacked bounds what a packed answer may grow to, in bytes.
	maxUnpacked = 64 << 20
)

// writers keeps compressors, which are large.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// readers keeps decompressors, each of which has a window of its own.
var readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack compresses the records of an answer if they are large enough.
func pack(resp *api.ReadResponse) error {
	records := &api.LogRecords{Records: resp.GetRecords()}
	if proto.Size(records) < packFrom {
		return nil
	}
	raw, err := proto.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "records")
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return errors.Wrap(err, "compression")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "compression")
	}
	resp.Records, resp.Packed = nil, out.Bytes()
	return nil
}

// unpack undoes pack.
func unpack(resp *api.ReadResponse) error {
	if len(resp.GetPacked()) == 0 {
		return nil
	}
	r := readers.Get().(io.Reader)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(resp.GetPacked()), nil); err != nil {
		return errors.Wrap(err, "packed records")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return errors.Wrap(err, "packed records")
	}
	var records api.LogRecords
	if err := proto.Unmarshal(raw, &records); err != nil {
		return errors.Wrap(err, "packed records")
	}
	resp.Records, resp.Packed = records.GetRecords(), nil
	return nil
}
