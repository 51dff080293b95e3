package standin

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

// ReadObject returns an object, or the zero snapshot if it does not exist.
func (t *Table) ReadObject(key string) schema.Snapshot {
	return t.objects[key]
}

// WriteObject creates or replaces an object and returns it.
func (t *Table) WriteObject(key string, object schema.Snapshot) schema.Snapshot {
	t.objects[key] = object

	return object
}

// serveObjects adds the routes of the object store and of the row versions.
func (p *Platform) serveObjects(front *fiber.App) {
	front.Get(tablehttp.PathVersions+"*", func(c fiber.Ctx) error {
		key := strings.Clone(c.Params("*"))

		return p.serve(c, false, func(t *Table, _ time.Time) any {
			row := t.Read(key)
			row.Value = ""

			return row
		})
	})
	front.Get(tablehttp.PathObjects+"*", func(c fiber.Ctx) error {
		key := strings.Clone(c.Params("*"))

		return p.serve(c, false, func(t *Table, _ time.Time) any { return t.ReadObject(key) })
	})
	front.Post(tablehttp.PathObjects+"*", func(c fiber.Ctx) error {
		key := strings.Clone(c.Params("*"))
		object, err := decodeBody[schema.Snapshot](c)
		if err != nil {
			return err
		}

		return p.serve(c, true, func(t *Table, _ time.Time) any { return t.WriteObject(key, object) })
	})
}
