package gauge

import "maps"

// Value is a metric with a name, tags and a value.
type Value struct {
	Name  string
	Tags  map[string]string
	Value float64
}

// Replace replaces all values of a group. Values of the group that aren't given again disappear
// from the page, which a tally scope can't do: its series stay for the life of the process.
func (p *Page) Replace(group string, values []Value) {
	replaced := make(map[string]*series, len(values))
	for _, v := range values {
		one := &series{page: p, name: v.Name, tags: formatTags(v.Tags), hasValue: true, value: v.Value}
		replaced[one.key()] = one
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(replaced) == 0 {
		delete(p.groups, group)
		return
	}
	p.groups[group] = replaced
}

// allSeries returns the series of the scope and those of all groups by their keys. The caller
// holds the Page's lock.
func (p *Page) allSeries() map[string]*series {
	all := maps.Clone(p.series)
	for _, group := range p.groups {
		maps.Copy(all, group)
	}
	return all
}
