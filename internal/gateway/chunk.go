package gateway

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint"
)

// chunkEncoder encodes pieces as server-sent events, each of which holds a chat.Chunk. The part that all events of a
// response share is encoded only once: encoding it anew for each event took a quarter of an instance's processing time.
// TestChunkEncoder checks that the output equals that of encoding/json for a chat.Chunk.
type chunkEncoder struct {
	prefix       []byte // the event up to the content of its delta
	includeUsage bool   // the caller requested the token usage
	offset       int64
	buf          bytes.Buffer
}

const (
	deltaMark  = `"delta":{`
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func newChunkEncoder(j *job, req *chat.Request) *chunkEncoder {
	c := chat.Chunk{
		ID: j.id, Object: chat.ObjectChunk, Created: j.accepted.Unix(), Model: req.Model, Choices: []chat.Choice{{Delta: &chat.Delta{}}},
	}
	e := &chunkEncoder{includeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage}
	if b, err := json.Marshal(c); err == nil {
		at := bytes.LastIndex(b, []byte(deltaMark)) + len(deltaMark)
		e.prefix = append([]byte(eventStart), b[:at]...)
	}
	return e
}

// encode returns the events for pieces. The returned bytes are valid until the next call.
func (e *chunkEncoder) encode(ps []endpoint.Piece) []byte {
	e.buf.Reset()
	for _, p := range ps {
		e.writePiece(p)
		e.offset += p.Tokens
	}
	return e.buf.Bytes()
}

func (e *chunkEncoder) writePiece(p endpoint.Piece) {
	b := &e.buf
	b.Write(e.prefix)
	if p.Text != "" {
		b.WriteString(`"content":`)
		b.Write(quoteJSON(p.Text))
	}
	b.WriteString(`},"finish_reason":`)
	if p.Finish == "" {
		b.WriteString("null")
	} else {
		b.Write(quoteJSON(p.Finish))
	}
	b.WriteString("}]")
	if p.Usage != nil && e.includeUsage {
		u, err := json.Marshal(p.Usage)
		if err == nil {
			b.WriteString(`,"usage":`)
			b.Write(u)
		}
	}
	b.WriteString(`,"offset":`)
	b.Write(strconv.AppendInt(b.AvailableBuffer(), e.offset, 10))
	if p.Tokens > 0 {
		b.WriteString(`,"tokens":`)
		b.Write(strconv.AppendInt(b.AvailableBuffer(), p.Tokens, 10))
	}
	b.WriteString("}" + eventEnd)
}

// quoteJSON returns a string as a JSON string literal.
func quoteJSON(s string) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte(`""`)
	}
	return b
}
