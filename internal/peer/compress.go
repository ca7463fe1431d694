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
	// minCompressBytes is the size from which records are compressed. Traffic
	// between regions is billed by the byte.
	minCompressBytes = 400
	// maxDecompressedBytes limits the size of a decompressed response.
	maxDecompressedBytes = 64 << 20
)

// compressors pools flate writers, which are large.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// decompressors pools flate readers, each of which allocates its own window.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// compressRecords compresses the records of a response if they have at least
// minCompressBytes.
func compressRecords(resp *api.ReadResponse) error {
	records := &api.LogRecords{Records: resp.GetRecords()}
	if proto.Size(records) < minCompressBytes {
		return nil
	}
	raw, err := proto.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "records")
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
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

// decompressRecords reverses compressRecords.
func decompressRecords(resp *api.ReadResponse) error {
	if len(resp.GetPacked()) == 0 {
		return nil
	}
	r := decompressors.Get().(io.Reader)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(resp.GetPacked()), nil); err != nil {
		return errors.Wrap(err, "packed records")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
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
