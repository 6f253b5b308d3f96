package claims

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"dotterelhead.example/dotterelhead/claims/chunk"
)

// key is the hash of an idempotency key.
type key [keySize]byte

// record is the remembered state of a key. Its size matters: an owner holds one
// for every key of the last 24 hours.
type record struct {
	fingerprint uint64
	attempt     uint64
	claimed     uint32
	// place holds the number of the chunk in the upper 30 bits and the state
	// in the lower two.
	place uint32
}

const stateBits = 2

func (r record) state() chunk.State    { return chunk.State(r.place & (1<<stateBits - 1)) }
func (r record) chunkNumber() uint32   { return r.place >> stateBits }
func (r record) in(n uint32) record    { r.place = n<<stateBits | uint32(r.state()); return r }
func (r record) is(s chunk.State) bool { return r.state() == s }
func (r record) with(s chunk.State) record {
	r.place = r.chunkNumber()<<stateBits | uint32(s)
	return r
}

// keyRecord is a record with its key, as chunks hold it.
type keyRecord struct {
	key
	record
}

// image is the content of one chunk document.
type image struct {
	number      uint32
	owner       string
	incarnation uint64
	epoch       int64
	sequence    int64
	sealed      bool
	records     []keyRecord
}

func attemptHash(attempt string) uint64 { return xxhash.Sum64String(attempt) }

func unixSeconds(t time.Time) uint32 {
	return uint32(min(max(t.Unix(), 0), math.MaxUint32))
}

func shardPrefix(region string, shard int) string {
	return fmt.Sprintf("claims/%s/%02d/", region, shard)
}

func chunkKey(prefix string, number uint32) string {
	return fmt.Sprintf("%s%010d", prefix, number)
}

func (i image) encode() ([]byte, error) {
	records := make([]chunk.Record, len(i.records))
	document := chunk.Chunk{
		Owner: i.owner, Incarnation: i.incarnation, Epoch: i.epoch, Sequence: i.sequence, Sealed: i.sealed,
		Records: make([]*chunk.Record, len(i.records)),
	}
	for n := range i.records {
		from, to := &i.records[n], &records[n]
		to.Key, to.Fingerprint, to.Attempt = from.key[:], from.fingerprint, from.attempt
		to.ClaimedSeconds, to.State = from.claimed, from.state()
		document.Records[n] = to
	}
	value, err := proto.Marshal(&document)
	return value, errors.Wrap(err, "encode chunk")
}

func decodeImage(prefix, documentKey string, value []byte) (image, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(documentKey, prefix), 10, 32-stateBits)
	if err != nil {
		return image{}, errors.Wrapf(err, "chunk %s", documentKey)
	}
	var document chunk.Chunk
	if err := proto.Unmarshal(value, &document); err != nil {
		return image{}, errors.Wrapf(err, "chunk %s", documentKey)
	}
	result := image{
		number: uint32(number), owner: document.GetOwner(), incarnation: document.GetIncarnation(),
		epoch: document.GetEpoch(), sequence: document.GetSequence(), sealed: document.GetSealed(),
		records: make([]keyRecord, 0, len(document.GetRecords())),
	}
	for _, from := range document.GetRecords() {
		if len(from.GetKey()) != keySize || from.GetState() < 0 || from.GetState() > chunk.State_NOT_RUN {
			return image{}, errors.Errorf("chunk %s: record with %d bytes of key and state %d", documentKey, len(from.GetKey()), from.GetState())
		}
		to := keyRecord{key: key(from.GetKey())}
		to.fingerprint, to.attempt, to.claimed = from.GetFingerprint(), from.GetAttempt(), from.GetClaimedSeconds()
		to.record = to.in(result.number).with(from.GetState())
		result.records = append(result.records, to)
	}
	return result, nil
}
