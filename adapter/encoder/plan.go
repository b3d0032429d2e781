package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/dragonflypass/dragonflypass"
)

// Plan is the JSON form of the configuration file that operators write.
type Plan struct {
	Ranks    map[string]Rank `json:"ranks"`
	Models   []Model         `json:"models"`
	Servers  []Server        `json:"servers"`
	Services []Service       `json:"services"`
	Accounts []Account       `json:"accounts"`
}

// ParsePlan returns the items of a configuration file; it returns ErrFormat for an invalid file or an unknown field.
func ParsePlan(data []byte) ([]dragonflypass.VersionedItem, error) {
	var plan Plan
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return nil, formatError("%s", withLine(data, decoder.InputOffset(), err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, formatError("the file goes on after the configuration")
	}
	return plan.items()
}

// withLine returns the text of the error, preceded by the number of the line at which parsing stopped.
func withLine(data []byte, offset int64, err error) string {
	if syntaxErr, ok := asSyntaxError(err); ok {
		offset = syntaxErr.Offset
	}
	line := bytes.Count(data[:min(int64(len(data)), offset)], []byte("\n")) + 1
	return fmt.Sprintf("line %d: %v", line, err)
}

func asSyntaxError(err error) (*json.SyntaxError, bool) {
	var syntaxErr *json.SyntaxError
	ok := eris.As(err, &syntaxErr)
	return syntaxErr, ok
}

func (p Plan) items() ([]dragonflypass.VersionedItem, error) {
	var items []dragonflypass.VersionedItem
	add := func(section dragonflypass.Section, name string, w Item) error {
		item, err := w.Item()
		if err != nil {
			return eris.Wrapf(err, "%s/%s", section, name)
		}
		key := dragonflypass.ItemKey{Section: section, Name: name}
		items = append(items, dragonflypass.VersionedItem{Key: key, Item: item})
		return nil
	}
	var errs []error
	collect := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	for name, rank := range p.Ranks {
		collect(add(dragonflypass.SectionRank, name, Item{Rank: &rank}))
	}
	for _, m := range p.Models {
		collect(add(dragonflypass.SectionModel, m.ID, Item{Model: &m}))
	}
	for _, s := range p.Servers {
		collect(add(dragonflypass.SectionServer, s.ID, Item{Server: &s}))
	}
	for _, s := range p.Services {
		collect(add(dragonflypass.SectionService, s.ID, Item{Service: &s}))
	}
	for _, a := range p.Accounts {
		collect(add(dragonflypass.SectionAccount, a.ID, Item{Account: &a}))
	}
	return items, errors.Join(errs...)
}
