// Package tutor parses the tutorial. Its test runs the commands of the page and
// checks that they print the output that the page shows.
//
// Headings of the second level divide a page into sections. In a section, fenced
// code blocks of language sh are commands, and those of language text are
// abridged outputs.
package tutor

import "strings"

const (
	headingMark  = "## "
	fenceMark    = "```"
	commandBlock = "sh"
	outputBlock  = "text"
)

// Section is the part of a page below a heading.
type Section struct {
	Title string
	// Commands holds the lines of all command blocks.
	Commands string
	// Output holds the lines of all output blocks.
	Output string
}

// Parse returns the sections of a page in order. It drops the text before the
// first heading.
func Parse(page string) []Section {
	var sections []Section
	block := ""
	for line := range strings.Lines(page) {
		content := strings.TrimSuffix(line, "\n")
		title, isHeading := strings.CutPrefix(content, headingMark)
		language, isFence := strings.CutPrefix(content, fenceMark)
		switch {
		case block == "" && isHeading:
			sections = append(sections, Section{
				Title: title,
			})
		case block == "" && isFence:
			block = language
		case isFence:
			block = ""
		case len(sections) == 0:
		case block == commandBlock:
			sections[len(sections)-1].Commands += line
		case block == outputBlock:
			sections[len(sections)-1].Output += line
		}
	}
	return sections
}
