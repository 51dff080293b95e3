// Command settingsgen generates the flags, typed settings and checks of each
// program from schema/settings.yaml.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"go/format"
	"os"
	"strings"
	"text/template"

	"go.yaml.in/yaml/v3"
)

//go:embed settings.tmpl
var source string

// Document is the content of the schema file.
type Document struct {
	Programs []Program `yaml:"programs"`
}

// Program lists the settings of one program.
type Program struct {
	Name        string    `yaml:"name"`
	Description string    `yaml:"description"`
	EnvPrefix   string    `yaml:"env_prefix"`
	Settings    []Setting `yaml:"settings"`
}

// Setting is one setting, which has a flag and an environment variable. Minimum
// and Maximum are empty if the value has no bounds.
type Setting struct {
	Name        string `yaml:"name"`
	Format      string `yaml:"format"`
	Default     string `yaml:"default"`
	Minimum     string `yaml:"minimum"`
	Maximum     string `yaml:"maximum"`
	Unit        string `yaml:"unit"`
	Description string `yaml:"description"`
}

// Field returns the name of the Go field, such as LogLevel for log_level.
func (s Setting) Field() string {
	words := strings.Split(s.Name, "_")
	for i, word := range words {
		words[i] = strings.ToUpper(word[:1]) + word[1:]
	}

	return strings.Join(words, "")
}

// Long returns the name of the flag without the leading dashes.
func (s Setting) Long() string {
	return strings.ReplaceAll(s.Name, "_", "-")
}

// Env returns the name of the environment variable without the program's prefix.
func (s Setting) Env() string {
	return strings.ToUpper(s.Name)
}

// Help returns the help text of the flag: the description, the unit and the
// bounds.
func (s Setting) Help() string {
	help := s.Description
	if s.Unit != "" {
		help += ", in " + s.Unit
	}
	if s.Minimum != "" {
		help += fmt.Sprintf(" (%s to %s)", s.Minimum, s.Maximum)
	}

	return help
}

// Type returns the Go type of the checked value.
func (s Setting) Type() string {
	switch s.Format {
	case "integer":
		return "int"
	case "duration":
		return "time.Duration"
	case "boolean":
		return "bool"
	case "addresses", "names":
		return "[]string"
	default:
		return "string"
	}
}

// Bounds returns the bounds as the last arguments of a check, or an empty string
// if there are none.
func (s Setting) Bounds() string {
	if s.Minimum == "" {
		return ""
	}

	return fmt.Sprintf(", %q, %q", s.Minimum, s.Maximum)
}

func main() {
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run reads the schema file at in and writes the Go file at out.
func run(in, out string) error {
	raw, err := os.ReadFile(in)
	if err != nil {
		return err
	}
	var document Document
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return err
	}
	var text bytes.Buffer
	if err := template.Must(template.New("settings").Parse(source)).Execute(&text, document); err != nil {
		return err
	}
	formatted, err := format.Source(text.Bytes())
	if err != nil {
		return err
	}

	return os.WriteFile(out, formatted, 0o644)
}
