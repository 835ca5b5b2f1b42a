package eventstream_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// numericField is the additional field of the streams in the property tests.
const numericField = "weight-versions"

// drawStream draws the blocks of a sound stream: events with increasing ids and comments, with
// any line ends.
func drawStream(t *rapid.T, numbered bool) []string {
	id := 0
	text := rapid.StringMatching(`[ -~é€]{0,40}`)
	afterReturn := false
	end := func(line string) string {
		drawn := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "end")
		if line == "" && afterReturn && drawn == "\n" {
			// It would complete the line end before.
			drawn = "\r"
		}
		afterReturn = drawn == "\r"
		return drawn
	}
	var blocks []string
	for range rapid.IntRange(0, 12).Draw(t, "blocks") {
		var lines []string
		comment := func() {
			if rapid.IntRange(0, 4).Draw(t, "comment") == 0 {
				lines = append(lines, ":"+text.Draw(t, "text"))
			}
		}
		comment()
		if rapid.IntRange(0, 5).Draw(t, "only comments") > 0 {
			if numbered && rapid.Bool().Draw(t, "version") {
				lines = append(lines, fmt.Sprintf("%s: %d", numericField, rapid.IntRange(0, 99).Draw(t, "number")))
			}
			if numbered {
				id += rapid.IntRange(1, 3).Draw(t, "step")
				lines = append(lines, fmt.Sprintf("id:%s%d", rapid.SampledFrom([]string{"", " "}).Draw(t, "space"), id))
			}
			if rapid.Bool().Draw(t, "named") {
				lines = append(lines, "event: token")
			}
			comment()
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				lines = append(lines, "data: "+text.Draw(t, "text"))
			}
		}
		var b strings.Builder
		for _, line := range lines {
			b.WriteString(line + end(line))
		}
		b.WriteString(end(""))
		blocks = append(blocks, b.String())
	}
	return blocks
}

// relay returns the bytes of the events before the first unsound block, and the error of that
// block, for a stream that arrives in drawn reads.
func relay(t *rapid.T, stream string, numbered bool) (string, error) {
	contract := eventstream.Contract{Numbered: numbered}
	if numbered {
		contract.NumericField = numericField
	}
	var splitter eventstream.Splitter
	checker := eventstream.NewChecker(contract)
	var relayed bytes.Buffer
	for rest := []byte(stream); len(rest) > 0; {
		n := rapid.IntRange(1, len(rest)).Draw(t, "read")
		if err := splitter.Write(rest[:n]); err != nil {
			return relayed.String(), err
		}
		rest = rest[n:]
		for event, ok := splitter.Next(); ok; event, ok = splitter.Next() {
			if err := checker.Check(event); err != nil {
				return relayed.String(), err
			}
			relayed.Write(event.Raw)
		}
	}
	return relayed.String(), nil
}

// TestSoundStreamsAreRelayedWhole guards against sound events that are taken for unsound, or
// lost, because of how their bytes arrive.
func TestSoundStreamsAreRelayedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbered := rapid.Bool().Draw(t, "numbered")
		stream := strings.Join(drawStream(t, numbered), "")
		relayed, err := relay(t, stream, numbered)
		if err != nil {
			t.Fatalf("sound stream %q: %v", stream, err)
		}
		if relayed != stream {
			t.Fatalf("got %q, want %q", relayed, stream)
		}
	})
}

// drawUnsound draws a block that is no event, whatever surrounds it.
func drawUnsound(t *rapid.T) string {
	return rapid.OneOf(
		rapid.StringMatching(`[b-c][a-z]{0,20}\n\n`),
		rapid.StringMatching(`HTTP/1\.1 [1-5][0-9]{2} [A-Z][a-z]{1,8}\r\n[A-Z][a-z]{1,8}: [a-z]{1,9}\r\n\r\n`),
		rapid.StringMatching(`\{"[a-z]{1,9}":[0-9]{1,3}\}\n\n`),
		rapid.StringMatching(`data: [a-z]{0,9}[\x00]\n\n`),
		rapid.StringMatching(`(event|id): [a-z]{1,9}\n\n`),
		rapid.StringMatching(`retry: [a-z]{1,9}\n\n`),
		rapid.Just("data: \xff\n\n"),
		rapid.StringMatching(`[!-9;-~]{0,30}[!-9;-~\x00-\x08]`),
	).Filter(func(s string) bool {
		return !strings.HasPrefix(s, "data") || strings.ContainsRune(s, 0) || strings.HasSuffix(s, "\xff\n\n")
	}).Draw(t, "unsound")
}

// TestInsertedBlocksAreFound guards against bytes of a faulty upstream that are relayed, and
// against events before them that are not.
func TestInsertedBlocksAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbered := rapid.Bool().Draw(t, "numbered")
		blocks := drawStream(t, numbered)
		at := rapid.IntRange(0, len(blocks)).Draw(t, "at")
		before := strings.Join(blocks[:at], "")
		// The event behind completes an inserted text without an empty line of its own.
		stream := before + drawUnsound(t) + "id: 1000\ndata: next\n\n" + strings.Join(blocks[at:], "")
		relayed, err := relay(t, stream, numbered)
		if err == nil {
			t.Fatalf("no unsound block in %q", stream)
		}
		if relayed != before {
			t.Fatalf("relayed %q, want %q", relayed, before)
		}
	})
}

// FuzzChecker checks that a relay of any bytes relays a prefix of them that a second relay
// finds sound, for any split into reads.
func FuzzChecker(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3, true)
	f.Add([]byte("data: {}\r\n\r\ndata: [DONE]\r\n\r\n"), 5, false)
	f.Add([]byte("\uFEFF: c\r\rid: 1\rdata\r\rgarbage\r\r"), 1, true)
	f.Add([]byte("weight-versions: 3\nid: 1\ndata: x\n\n"), 2, true)
	f.Fuzz(func(t *testing.T, stream []byte, size int, numbered bool) {
		if size < 1 || len(stream) >= eventstream.MaxEventBytes {
			return
		}
		relayed, _ := relayReads(t, stream, size, numbered)
		if !bytes.HasPrefix(stream, relayed) {
			t.Fatalf("relayed %q of %q", relayed, stream)
		}
		again, err := relayReads(t, relayed, 1, numbered)
		if err != nil || !bytes.Equal(again, relayed) {
			t.Fatalf("second relay: %q of %q: %v", again, relayed, err)
		}
	})
}

func relayReads(t *testing.T, stream []byte, size int, numbered bool) ([]byte, error) {
	contract := eventstream.Contract{Numbered: numbered, NumericField: numericField}
	var splitter eventstream.Splitter
	checker := eventstream.NewChecker(contract)
	relayed := []byte{}
	for rest := stream; len(rest) > 0; {
		n := min(size, len(rest))
		if err := splitter.Write(rest[:n]); err != nil {
			t.Fatal(err)
		}
		rest = rest[n:]
		for event, ok := splitter.Next(); ok; event, ok = splitter.Next() {
			if err := checker.Check(event); err != nil {
				return relayed, err
			}
			relayed = append(relayed, event.Raw...)
		}
	}
	return relayed, nil
}
