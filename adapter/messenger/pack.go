package messenger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

const (
	// minPackedBytes is the total size of the records of a list of updates from which the list is sent compressed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes limits the size of a list after it has been decompressed.
	maxUnpackedBytes = 64 << 20
	// packedListLimit is the number of compressed lists that are kept: a VM sends the same one to many others.
	packedListLimit = 4
)

// packer compresses lists of updates, and keeps the compressed forms of recent ones.
type packer struct {
	mutex sync.Mutex
	lists map[listID][]byte
}

// listID identifies a list of updates: the topic up to the offset in an era of the store, with the newest version that the VM
// has, and how many of its last updates the list has.
type listID struct {
	topic        dragonflypass.Topic
	era          dragonflypass.Era
	version      uint64
	endOffset    dragonflypass.Offset
	fullSnapshot bool
	count        int
}

// lists is the packer of the process.
var lists = packer{lists: make(map[listID][]byte)}

// pack returns the compressed list of updates.
func (p *packer) pack(id listID, updates []update) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if packed, ok := p.lists[id]; ok {
		return packed
	}
	var buffer bytes.Buffer
	// The level is valid and a buffer accepts all writes, so that there are no errors.
	writer, _ := flate.NewWriter(&buffer, flate.BestSpeed)
	_, _ = writer.Write(mustMarshal(updates))
	_ = writer.Close()
	if len(p.lists) >= packedListLimit {
		clear(p.lists)
	}
	p.lists[id] = buffer.Bytes()
	return buffer.Bytes()
}

// unpack returns the list of updates that pack compressed.
func unpack(packed []byte) (updates []update, err error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err == nil && len(data) > maxUnpackedBytes {
		err = eris.New("the list of updates is too large")
	}
	if err == nil {
		err = cbor.Unmarshal(data, &updates)
	}
	if err != nil {
		return nil, eris.Wrap(dragonflypass.ErrBroken, err.Error())
	}
	return updates, nil
}
