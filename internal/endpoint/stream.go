package endpoint

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Piece is a verified part of a response.
type Piece struct {
	Text   string
	Tokens int64 // tokens in this piece
	Finish string
	Usage  *chat.Usage // set on the last piece
}

// Stream reads the response of an engine. It returns only pieces that belong to its run and attempt, in order.
type Stream struct {
	d          *Driver
	body       io.ReadCloser
	sc         *bufio.Scanner
	run        string
	attempt    int
	nextOffset int64 // offset of the next token
	complete   bool
}

// Offset returns the number of tokens read so far.
func (s *Stream) Offset() int64 { return s.nextOffset }

// Close closes the response body.
func (s *Stream) Close() error { return s.body.Close() }

// Next returns the next piece, or io.EOF after the end marker of a complete response. A response that ends without usage
// or end marker is truncated.
func (s *Stream) Next() (Piece, error) {
	for s.sc.Scan() {
		data, ok := strings.CutPrefix(s.sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.Done {
			if !s.complete {
				return Piece{}, truncated("the end marker came without usage")
			}
			return Piece{}, io.EOF
		}
		var c chat.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return Piece{}, truncated("an undecodable piece: " + err.Error())
		}
		p, ok, err := s.verify(&c)
		if err != nil || ok {
			return p, err
		}
	}
	detail := "the answer ended early"
	if err := s.sc.Err(); err != nil {
		detail += ": " + err.Error()
	}
	return Piece{}, truncated(detail)
}

func truncated(detail string) error {
	return verdict.New(verdict.Ran, verdict.CodeTruncated, detail)
}

// verify checks a piece. It returns false for pieces that are dropped: those of other requests or attempts, and those
// that were received before. A gap in the offsets is an error.
func (s *Stream) verify(c *chat.Chunk) (Piece, bool, error) {
	run, attempt, ok := wire.SplitResponseID(c.ID)
	if !ok || run != s.run || attempt != s.attempt {
		s.d.mismatched.Add(1)
		return Piece{}, false, nil
	}
	if c.Offset < s.nextOffset {
		s.d.mismatched.Add(1)
		return Piece{}, false, nil
	}
	if c.Offset > s.nextOffset {
		return Piece{}, false, truncated("a piece is missing")
	}
	p := Piece{Tokens: c.Tokens, Usage: c.Usage}
	if len(c.Choices) > 0 {
		if c.Choices[0].Delta != nil {
			p.Text = c.Choices[0].Delta.Content
		}
		if c.Choices[0].FinishReason != nil {
			p.Finish = *c.Choices[0].FinishReason
		}
	}
	s.nextOffset += c.Tokens
	if p.Usage != nil {
		s.complete = true
	}
	return p, true, nil
}
