package standin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
)

func TestTableCommits(t *testing.T) {
	t.Parallel()
	row := func(key string, version int, value string) schema.Row {
		return schema.Row{Key: key, Version: version, Value: value}
	}
	for name, test := range map[string]struct {
		rows      []schema.Row
		committed bool
		want      []schema.Row
	}{
		"a new row":                  {rows: []schema.Row{row("b", 0, "new")}, committed: true, want: []schema.Row{row("b", 1, "new")}},
		"a row at its version":       {rows: []schema.Row{row("a", 1, "new")}, committed: true, want: []schema.Row{row("a", 2, "new")}},
		"nothing at another version": {rows: []schema.Row{row("a", 0, "new")}, want: []schema.Row{row("a", 1, "old")}},
		"all rows or none":           {rows: []schema.Row{row("b", 0, "new"), row("a", 2, "new")}, want: []schema.Row{row("b", 0, ""), row("a", 1, "old")}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := standin.NewTable(0)
			table.Commit(schema.Transaction{Rows: []schema.Row{row("a", 0, "old")}})
			result := table.Commit(schema.Transaction{Rows: test.rows})
			assert.Equal(t, result.Committed, test.committed)
			assert.DeepEqual(t, result.Rows, test.want)
			if !test.committed {
				assert.Equal(t, table.Read("b").Version, 0)
			}
		})
	}
}

func TestTableHostListLags(t *testing.T) {
	t.Parallel()
	table := standin.NewTable(2 * time.Second)
	list := func(name string) schema.HostList { return schema.HostList{Hosts: []schema.ListedHost{{Name: name}}} }
	table.SetHosts(start, list("first"))
	assert.DeepEqual(t, table.Hosts(start), list("first"))
	table.SetHosts(start, list("second"))
	assert.DeepEqual(t, table.Hosts(start.Add(2*time.Second-1)), list("first"))
	assert.DeepEqual(t, table.Hosts(start.Add(2*time.Second)), list("second"))
}
