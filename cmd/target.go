package cmd

import (
	"net/url"
	"strings"

	"github.com/baobabdrum/baobabdrum/schema"
)

// target returns the request path and query for a service at an entry host. It
// percent-encodes characters that a URL can't contain, such as spaces, and keeps
// existing escapes and the query.
func target(prefix, service, path string) (string, error) {
	parsed, err := url.Parse("/" + strings.TrimPrefix(path, "/"))
	if err != nil {
		return "", &schema.InvalidError{Input: "arguments", Faults: []schema.Fault{
			{Place: "PATH", Value: path, Problem: "must be the path and query of a URL: " + err.Error()},
		}}
	}
	encoded := prefix + url.PathEscape(service) + parsed.EscapedPath()
	if parsed.RawQuery != "" {
		encoded += "?" + strings.ReplaceAll(parsed.RawQuery, " ", "%20")
	}

	return encoded, nil
}
