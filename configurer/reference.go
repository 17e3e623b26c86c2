package configurer

import (
	"fmt"
	"strings"
)

// SettingsReference returns the reference page of the settings, in Markdown.
func SettingsReference() string {
	var page strings.Builder
	page.WriteString("# Settings\n\nGenerated from the descriptions in package `configurer`; do not edit.\n\n" +
		"An instance reads its settings once, at startup, from an INI file. Lines that begin with `#` or `;` are comments;\n" +
		"a comment may not follow a value on its line. Unknown sections and keys are errors.\n")
	for _, sc := range settingSections {
		fmt.Fprintf(&page, "\n## [%s]\n\n%s\n\n", sc.name, sc.doc)
		writeFields(&page, sc.fields)
	}
	return page.String()
}

// ListsReference returns the reference page of the operators' lists, in Markdown.
func ListsReference() string {
	var page strings.Builder
	page.WriteString("# Operators' lists\n\nMade from the descriptions in package `configurer`; do not edit.\n\n" +
		"The plans list names the organisations, the uses list what each plan may use. Keys are changed by commands only.\n")
	page.WriteString("\n## Plans list: [organisation NAME]\n\n")
	writeFields(&page, organisationFields)
	page.WriteString("\n## Uses list: [plan NAME]\n\n")
	writeFields(&page, planFields)
	page.WriteString("\n## Uses list: [adapter NAME]\n\n")
	writeFields(&page, adapterFields)
	page.WriteString("\n## Uses list: [service NAME]\n\n")
	writeFields(&page, serviceFields)
	page.WriteString("\n## Keys: [key ID]\n\n")
	writeFields(&page, keyFields)
	return page.String()
}

func writeFields[T any](page *strings.Builder, fields []field[T]) {
	page.WriteString("| key | allowed | default | meaning |\n|---|---|---|---|\n")
	for _, fd := range fields {
		shown := "none"
		switch {
		case fd.required:
			shown = "must be given"
		case fd.defaultValue != "":
			shown = "`" + fd.defaultValue + "`"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", fd.key, strings.ReplaceAll(fd.allowed, "*", `\*`), shown, fd.doc)
	}
}
