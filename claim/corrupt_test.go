package claim

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/platform"
)

const (
	soundRecord  = `{"key":{"t":"team","s":"booking","k":"k"},"attempt":"a","router":"r","inc":1,"at":"2026-12-05T00:00:00Z","digest":"d","state":"claimed"}`
	secondRecord = `{"key":{"t":"team","s":"booking","k":"k"},"attempt":"b","router":"r","inc":1,"at":"2026-12-05T00:00:00Z","digest":"d","state":"claimed"}`
)

// corruptHeads are values of a head object that are JSON and no head.
var corruptHeads = map[string]string{
	"null":                    `null`,
	"empty object":            `{}`,
	"other object":            `{"generation":3,"shards":["x"]}`,
	"no writes":               `{"writes":0,"records":[` + soundRecord + `]}`,
	"record without fields":   `{"writes":1,"records":[{}]}`,
	"record without a key":    `{"writes":1,"records":[{"key":{"t":"team","s":"booking"},"attempt":"a","router":"r","digest":"d"}]}`,
	"two records of a key":    `{"writes":1,"records":[` + soundRecord + `,` + secondRecord + `]}`,
	"segment without a key":   `{"writes":1,"sealed":[{"count":1}]}`,
	"segment with no records": `{"writes":1,"sealed":[{"key":"claims/0/segments/x","count":0}]}`,
}

// TestCorruptHeadsAreRefused guards against a head that forgets claims: a repeated request would
// run a second time.
func TestCorruptHeadsAreRefused(t *testing.T) {
	for name, value := range corruptHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := DecodeHead([]byte(value))
			g.Expect(err).To(MatchError(ErrCorrupt))
			store := newFakeStore()
			g.Expect(newTestCommitter(t, store, CommitterConfig{}).Claim(t.Context(), testRecord("k", "a"))).To(Equal(Result{Status: StatusClaimed}))
			store.set(func(s *fakeStore) {
				s.version++
				s.objects[HeadKey(0)] = platform.Object{Key: HeadKey(0), Value: []byte(value), Version: s.version, Modified: s.now}
			})
			_, err = newTestCommitter(t, store, CommitterConfig{}).Claim(t.Context(), testRecord("k", "b"))
			g.Expect(err).To(MatchError(ErrUnavailable))
		})
	}
}

// TestSegmentWithOtherRecordsIsRefused guards against a sealed segment that lost records: their
// requests would run a second time.
func TestSegmentWithOtherRecordsIsRefused(t *testing.T) {
	for name, value := range map[string]string{"null": "null", "no records": "[]", "other records": "[" + soundRecord + "]", "other value": `[{}]`} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := newFakeStore()
			first := newTestCommitter(t, store, CommitterConfig{Partition: Config{SegmentBytes: 300}})
			for i := range 8 {
				_, err := first.Claim(t.Context(), testRecord(fmt.Sprint("k", i), "a"))
				g.Expect(err).NotTo(HaveOccurred())
			}
			sealed := 0
			store.set(func(s *fakeStore) {
				for key, object := range s.objects {
					if key != HeadKey(0) {
						object.Value = []byte(value)
						s.objects[key] = object
						sealed++
					}
				}
			})
			g.Expect(sealed).To(BeNumerically(">", 0))
			_, err := newTestCommitter(t, store, CommitterConfig{}).Claim(t.Context(), testRecord("k0", "b"))
			g.Expect(err).To(MatchError(ErrUnavailable))
		})
	}
}

// TestKeyThatIsNoTextIsRefused guards against keys that differ from what is stored of them: a
// repeated request would not find its claim and run a second time.
func TestKeyThatIsNoTextIsRefused(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	for attempt := range 2 {
		_, err := newTestCommitter(t, store, CommitterConfig{}).Claim(t.Context(), testRecord("k\xff", fmt.Sprint("a", attempt)))
		g.Expect(err).To(MatchError(ErrInvalidRecord))
	}
}

// FuzzDecodeHead checks that a head either is corrupt or is stored and read again unchanged.
func FuzzDecodeHead(f *testing.F) {
	for _, value := range corruptHeads {
		f.Add([]byte(value))
	}
	f.Add([]byte(`{"writes":3,"sealed":[{"key":"claims/0/segments/x","sealed_at":"2026-12-05T00:00:00Z","count":2}],"records":[` + soundRecord + `]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		encoded, err := EncodeHead(head)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeHead(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if again.Writes != head.Writes || len(again.Records) != len(head.Records) || len(again.Sealed) != len(head.Sealed) {
			t.Fatalf("got %+v, want %+v", again, head)
		}
		for i, r := range head.Records {
			if again.Records[i].Scope != r.Scope {
				t.Fatalf("key %q became %q", r.Scope, again.Records[i].Scope)
			}
		}
	})
}

// FuzzDecodeSegment checks that only what was sealed under a key is read from it.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte("null"))
	f.Add([]byte("[]"))
	f.Add([]byte("[" + soundRecord + "]"))
	sealed := []Record{testRecord("k", "a")}
	key := segmentKey(0, 1, sealed)
	value, _ := EncodeSegment(sealed)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		records, err := DecodeSegment(key, value)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if len(records) != 1 || records[0] != sealed[0] {
			t.Fatalf("read %+v", records)
		}
	})
}
