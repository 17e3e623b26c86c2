package inspector

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError is the error of an answer whose head or trailer breaks the grammar of RFC 9110 and RFC 9112. It names
// the part that does. Such an answer is none: neither its status nor its fields nor its body can be relied on, and the
// request may have run.
type MalformedError string

// The parts of an answer that may be malformed.
const (
	malformedStatusLine     MalformedError = "status line"
	malformedStatus         MalformedError = "status code"
	malformedReason         MalformedError = "reason phrase"
	malformedLine           MalformedError = "field line without a colon"
	malformedFold           MalformedError = "continuation line without a field"
	malformedFraming        MalformedError = "blank before the name of a framing field"
	malformedName           MalformedError = "field name"
	malformedValue          MalformedError = "field value"
	malformedCarriageReturn MalformedError = "carriage return within a line"
	malformedEncoding       MalformedError = "transfer encoding in HTTP/1.0"
)

// Error names the malformed part.
func (me MalformedError) Error() string { return "malformed response: " + string(me) }

const (
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// versionForm is the form of the version in a status line, with 0 for any digit. oldVersion knows no transfer
	// encodings, and net/http takes the encoded bytes for the body.
	versionForm = "HTTP/0.0"
	oldVersion  = "HTTP/1.0"
	// encodingField and lengthField are the names of the fields that state where a body ends, in lower case. oldVersion
	// may not have the first one.
	encodingField = "transfer-encoding"
	lengthField   = "content-length"
)

// CheckHead checks a status and fields that were read already, by net/http or by another instance.
func CheckHead(status int, header http.Header) error {
	if !final(status) {
		return malformedStatus
	}
	return CheckFields(header)
}

// CheckFields checks the fields of a head or a trailer that net/http has read, which takes names with blanks.
func CheckFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformedName
		}
		for _, value := range values {
			if strings.ContainsFunc(value, func(char rune) bool { return char < ' ' && char != '\t' || char == 0x7f }) {
				return malformedValue
			}
		}
	}
	return nil
}

// maxStatus is the highest status. One above 599 counts as one of 5xx (RFC 9110, 15).
const maxStatus = 999

// final reports whether a status is that of a final answer.
func final(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// interim reports whether a status is that of an answer which another one follows. No request asks for another
// protocol, so no answer may switch to one.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// text reports whether a byte may stand in a value or a reason phrase.
func text(char byte) bool { return char >= ' ' && char != 0x7f || char == '\t' }

// linePart is the part of a line that a byte belongs to.
type linePart uint8

// The parts of a status line, and after them those of a field line. partGap is the blanks before the status, partBegin
// the first byte of a line, and partFold the first word of a continuation line.
const (
	partVersion linePart = iota
	partGap
	partStatus
	partReason
	partBegin
	partName
	partFold
	partValue
)

// syntax checks the lines of a head byte by byte. What is malformed is reported at the end of its line, so that lines
// without end are reported as too long.
type syntax struct {
	part linePart
	// length is the number of bytes of the line so far, and returned is true after a carriage return.
	length   int
	returned bool
	// version and name hold the begin of the status line and of the field's name.
	version [len(versionForm)]byte
	name    [len(encodingField)]byte
	named   int
	// status is the value of the digits read so far.
	status, digits int
	// fields is true once the head has a field, which the next line may continue.
	fields bool
	err    error
}

func (sy *syntax) fail(err error) {
	if sy.err == nil {
		sy.err = err
	}
}

// add checks a byte of a line. The line feed at its end is none.
func (sy *syntax) add(char byte) {
	if sy.returned {
		sy.fail(malformedCarriageReturn)
	}
	if sy.returned = char == '\r'; sy.returned {
		return
	}
	switch sy.part {
	case partVersion:
		sy.addVersion(char)
	case partGap, partStatus:
		sy.addStatus(char)
	case partReason:
		sy.addText(char, malformedReason)
	case partBegin:
		sy.beginField(char)
	case partName:
		sy.addName(char)
	case partFold:
		sy.addFold(char)
	case partValue:
		sy.addText(char, malformedValue)
	}
	sy.length++
}

func (sy *syntax) addVersion(char byte) {
	switch {
	case sy.length < len(versionForm):
		sy.version[sy.length] = char
		if form := versionForm[sy.length]; char != form && (form != '0' || !digit(char)) {
			sy.fail(malformedStatusLine)
		}
	case char == ' ':
		sy.part = partGap
	default:
		sy.fail(malformedStatusLine)
	}
}

func digit(char byte) bool { return '0' <= char && char <= '9' }

// addStatus checks a byte of the status. Several blanks may stand before it (RFC 9112, 4).
func (sy *syntax) addStatus(char byte) {
	switch {
	case char == ' ' && sy.part == partGap:
	case char == ' ':
		sy.part = partReason
	case digit(char) && sy.digits < statusDigits:
		sy.part = partStatus
		sy.digits++
		sy.status = 10*sy.status + int(char-'0')
	default:
		sy.fail(malformedStatus)
	}
}

func (sy *syntax) addText(char byte, malformed MalformedError) {
	if !text(char) {
		sy.fail(malformed)
	}
}

func (sy *syntax) beginField(char byte) {
	sy.part, sy.named = partName, 0
	if !blank(char) {
		sy.addName(char)
		return
	}
	sy.part = partFold
	if !sy.fields {
		sy.fail(malformedFold)
	}
}

func blank(char byte) bool { return char == ' ' || char == '\t' }

// addFold checks the first word of a continuation line. The sender of a framing field behind a blank has not meant to
// continue a value, and the body would end elsewhere. RFC 9112, 5.2 lets any message with such lines be refused.
func (sy *syntax) addFold(char byte) {
	switch {
	case blank(char):
	case char == ':' && (sy.names(lengthField) || sy.names(encodingField)):
		sy.fail(malformedFraming)
	case httpguts.IsTokenRune(rune(char)):
		sy.keepName(char)
	default:
		sy.part = partValue
		sy.addText(char, malformedValue)
	}
}

func (sy *syntax) addName(char byte) {
	if char == ':' {
		sy.endName()
		return
	}
	if !httpguts.IsTokenRune(rune(char)) {
		sy.fail(malformedName)
	}
	sy.keepName(char)
}

// keepName keeps a byte of a name, as far as framing fields need it.
func (sy *syntax) keepName(char byte) {
	if sy.named < len(sy.name) {
		sy.name[sy.named] = char
	}
	sy.named++
}

// names reports whether the name is the given one, which is no longer than encodingField.
func (sy *syntax) names(field string) bool {
	return sy.named == len(field) && strings.EqualFold(string(sy.name[:sy.named]), field)
}

func (sy *syntax) endName() {
	sy.part = partValue
	if sy.named == 0 {
		sy.fail(malformedName)
	}
	if sy.names(encodingField) && string(sy.version[:]) <= oldVersion {
		sy.fail(malformedEncoding)
	}
}

// endLine checks the end of a line. It reports whether the line has ended the head, and begins the next line.
func (sy *syntax) endLine() (ended bool, err error) {
	switch {
	case sy.part < partBegin:
		sy.endStatusLine()
	case sy.part == partBegin:
		ended = true
	case sy.part == partName:
		sy.fail(malformedLine)
	default:
		sy.fields = true
	}
	sy.part, sy.length, sy.returned = partBegin, 0, false
	return ended, sy.err
}

func (sy *syntax) endStatusLine() {
	if sy.part < partStatus {
		sy.fail(malformedStatusLine)
	}
	if sy.digits != statusDigits || !final(sy.status) && !interim(sy.status) {
		sy.fail(malformedStatus)
	}
}
