package scenario

import (
	"fmt"
	"strings"
)

// lineIndex returns the line number of each key and table of a TOML text by its path, such as "class[0].share". It
// handles tables, arrays of tables and bare keys only, because scenario files use nothing else.
func lineIndex(text string) map[string]int {
	index, counts := map[string]int{}, map[string]int{}
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.TrimSpace(strings.TrimPrefix(line[:strings.IndexByte(line+"]", ']')], "[["))
			if _, ok := index[name]; !ok {
				index[name] = i + 1
			}
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index[table] = i + 1
			table += "."
		case strings.HasPrefix(line, "["):
			name := strings.TrimSpace(strings.TrimPrefix(line[:strings.IndexByte(line+"]", ']')], "["))
			index[name] = i + 1
			table = name + "."
		default:
			key, _, ok := strings.Cut(line, "=")
			if key = strings.TrimSpace(key); ok && key != "" && key[0] != '#' {
				index[table+key] = i + 1
				if plain := removeEntryNumbers(table) + key; index[plain] == 0 { // decoder paths have no entry numbers
					index[plain] = i + 1
				}
			}
		}
	}
	return index
}

// removeEntryNumbers removes the entry numbers from a path: "class[0].share" becomes "class.share".
func removeEntryNumbers(path string) string {
	for {
		open := strings.IndexByte(path, '[')
		if open < 0 {
			return path
		}
		path = path[:open] + path[strings.IndexByte(path, ']')+1:]
	}
}
