package messenger

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypass/dragonflypass"
)

// TestPackedUpdatesOfErasDiffer packs as many records up to the same offset in two eras, and with two versions in one era. The
// packed list that is kept for the first must not be sent for the others.
func TestPackedUpdatesOfErasDiffer(t *testing.T) {
	c := qt.New(t)
	for i, mark := range []dragonflypass.Watermark{{Era: 1, Version: 1}, {Era: 2, Version: 1}, {Era: 2, Version: 2}} {
		raw := bytes.Repeat([]byte{byte(i)}, minPackedBytes)
		mark.Topic, mark.EndOffset, mark.FullSnapshot = dragonflypass.TopicRouting, 9, true
		mark.Updates = []dragonflypass.Update{{Key: "k", Raw: raw}}
		got, err := toWatermark(mark).watermark()
		c.Assert(err, qt.IsNil)
		c.Check(got.Updates[0].Raw, qt.DeepEquals, raw)
	}
}

// TestWatermarksOfEarlierVersions decodes a watermark of a version that knows no eras, and has such a version decode one of
// this version. VMs of both must be able to run side by side.
func TestWatermarksOfEarlierVersions(t *testing.T) {
	c := qt.New(t)
	type earlierWatermark struct {
		Topic     string `cbor:"topic"`
		EndOffset uint64 `cbor:"end"`
		Loaded    bool   `cbor:"known,omitempty"`
		Staleness int64  `cbor:"age"`
	}
	earlier := earlierWatermark{Topic: "routing", EndOffset: 4, Loaded: true, Staleness: 5}
	var received watermark
	c.Assert(cbor.Unmarshal(mustMarshal(earlier), &received), qt.IsNil)
	got, err := received.watermark()
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, dragonflypass.Watermark{Topic: dragonflypass.TopicRouting, EndOffset: 4, Loaded: true, Staleness: 5})

	got.Era, got.Version = 3, 7
	var decoded earlierWatermark
	c.Assert(cbor.Unmarshal(mustMarshal(toWatermark(got)), &decoded), qt.IsNil)
	c.Check(decoded, qt.DeepEquals, earlier)
	received = watermark{}
	c.Assert(cbor.Unmarshal(mustMarshal(toWatermark(got)), &received), qt.IsNil)
	back, err := received.watermark()
	c.Assert(err, qt.IsNil)
	c.Check(back, qt.DeepEquals, got)
}
