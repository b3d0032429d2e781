package follower

import (
	"time"

	"github.com/dragonflypass/dragonflypass"
)

// MissingUpdates returns this VM's watermark, with the updates that a VM with the other watermark is missing, unless they
// are large and all is not set. The updates are a full snapshot if the other VM has not read the topic, has read it in an older
// era, or is too far behind for the tombstones.
func (f *Follower) MissingUpdates(other dragonflypass.Watermark, all bool) dragonflypass.Watermark {
	f.NoteEra(other.Era)
	now := f.Timer.Uptime()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peerVersion = max(f.peerVersion, other.Version)
	watermark := f.watermark(now)
	isBehind := !other.Loaded || watermark.IsAhead(&other)
	lacksVersion := watermark.HasNewerVersion(&other)
	if !watermark.Loaded || !isBehind && !lacksVersion {
		return watermark
	}
	hasOlderEra := other.Era != 0 && other.Era < f.copyEra
	watermark.FullSnapshot = isBehind && (!other.Loaded || hasOlderEra || other.EndOffset < f.tombstonesFrom)
	for _, update := range f.records {
		isMissing := isBehind && update.Offset >= other.EndOffset || lacksVersion && update.Version() > other.Version
		if watermark.FullSnapshot || isMissing {
			watermark.Updates = append(watermark.Updates, update)
		}
	}
	for key, offset := range f.tombstones {
		if isBehind && !watermark.FullSnapshot && offset >= other.EndOffset {
			watermark.Updates = append(watermark.Updates, dragonflypass.Update{Key: key, Offset: offset})
		}
	}
	size := 0
	for _, update := range watermark.Updates {
		size += len(update.Raw)
	}
	if size > maxInlineBytes && !all {
		watermark.Updates, watermark.Withheld = nil, true
	}
	return watermark
}

// HandleWatermark applies another VM's watermark, which it sent in response to a heartbeat that this VM sent at the
// uptime sentAt. The staleness is counted from that time, so that the copy is never considered fresher than it is.
func (f *Follower) HandleWatermark(sentAt time.Duration, watermark dragonflypass.Watermark, from dragonflypass.VMID) {
	if !watermark.Loaded {
		return
	}
	f.NoteEra(watermark.Era)
	era, ok := f.eraOf(watermark)
	if !ok || watermark.Withheld {
		return
	}
	page := dragonflypass.UpdatePage{Era: era, EndOffset: watermark.EndOffset}
	for _, update := range watermark.Updates {
		page.Updates = append(page.Updates, f.Store.Decode(f.Topic, update.Key, update.Offset, update.Raw))
	}
	f.applyPage(page, watermark.FullSnapshot, sentAt-watermark.Staleness, from)
}

// eraOf returns the era of another VM's watermark and records its version. A VM that sends no era counts as having read the
// newest one, until the store is restored while this VM runs: then it may never have noticed, and ok is false.
func (f *Follower) eraOf(watermark dragonflypass.Watermark) (era dragonflypass.Era, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peerVersion = max(f.peerVersion, watermark.Version)
	if watermark.Era != 0 {
		return watermark.Era, true
	}
	return f.era, !f.restored
}
