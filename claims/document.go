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

// record is the recorded state of a key. It is kept small because an owner holds
// one in memory for every key of the last 24 hours.
type record struct {
	fingerprint    uint64
	attempt        uint64
	claimedSeconds uint32
	// chunkAndState holds the number of the chunk in the upper 30 bits and the state
	// in the lower two.
	chunkAndState uint32
}

const stateBits = 2

func (r record) state() chunk.State  { return chunk.State(r.chunkAndState & (1<<stateBits - 1)) }
func (r record) chunkNumber() uint32 { return r.chunkAndState >> stateBits }
func (r record) inChunk(n uint32) record {
	r.chunkAndState = n<<stateBits | uint32(r.state())
	return r
}
func (r record) hasState(s chunk.State) bool { return r.state() == s }
func (r record) withState(s chunk.State) record {
	r.chunkAndState = r.chunkNumber()<<stateBits | uint32(s)
	return r
}

// keyRecord is a key and its record, as stored in a chunk.
type keyRecord struct {
	key
	record
}

// chunkContent is the content of one chunk document.
type chunkContent struct {
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

func (c chunkContent) encode() ([]byte, error) {
	records := make([]chunk.Record, len(c.records))
	document := chunk.Chunk{
		Owner: c.owner, Incarnation: c.incarnation, Epoch: c.epoch, Sequence: c.sequence, Sealed: c.sealed,
		Records: make([]*chunk.Record, len(c.records)),
	}
	for n := range c.records {
		from, to := &c.records[n], &records[n]
		to.Key, to.Fingerprint, to.Attempt = from.key[:], from.fingerprint, from.attempt
		to.ClaimedSeconds, to.State = from.claimedSeconds, from.state()
		document.Records[n] = to
	}
	value, err := proto.Marshal(&document)
	return value, errors.Wrap(err, "encode chunk")
}

func decodeChunk(prefix, documentKey string, value []byte) (chunkContent, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(documentKey, prefix), 10, 32-stateBits)
	if err != nil {
		return chunkContent{}, errors.Wrapf(err, "parse the number of chunk %s", documentKey)
	}
	var document chunk.Chunk
	if err := proto.Unmarshal(value, &document); err != nil {
		return chunkContent{}, errors.Wrapf(err, "decode chunk %s", documentKey)
	}
	result := chunkContent{
		number: uint32(number), owner: document.GetOwner(), incarnation: document.GetIncarnation(),
		epoch: document.GetEpoch(), sequence: document.GetSequence(), sealed: document.GetSealed(),
		records: make([]keyRecord, 0, len(document.GetRecords())),
	}
	for _, from := range document.GetRecords() {
		if len(from.GetKey()) != keySize || from.GetState() < 0 || from.GetState() > chunk.State_NOT_RUN {
			return chunkContent{}, errors.Errorf("chunk %s: invalid record with a key of %d bytes and state %d", documentKey, len(from.GetKey()), from.GetState())
		}
		to := keyRecord{key: key(from.GetKey())}
		to.fingerprint, to.attempt, to.claimedSeconds = from.GetFingerprint(), from.GetAttempt(), from.GetClaimedSeconds()
		to.record = to.inChunk(result.number).withState(from.GetState())
		result.records = append(result.records, to)
	}
	return result, nil
}
