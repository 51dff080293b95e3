package cmd

import (
	"net/url"
	"strings"

	"github.com/baobabdrum/baobabdrum/schema"
)

// target returns the path and query for a service at an entry host. Characters
// that a URL can't hold, such as spaces, are percent-encoded; what is encoded
// already and the query are kept.
func target(prefix, service, path string) (string, error) {
	parsed, err := url.Parse("/" + strings.TrimPrefix(path, "/"))
	if err != nil {
		return "", &schema.InvalidError{Input: "arguments", Faults: []schema.Fault{
			{Place: "PATH", Value: path, Problem: "must be a URL's path and query: " + err.Error()},
		}}
	}
	encoded := prefix + url.PathEscape(service) + parsed.EscapedPath()
	if parsed.RawQuery != "" {
		encoded += "?" + strings.ReplaceAll(parsed.RawQuery, " ", "%20")
	}

	return encoded, nil
}
