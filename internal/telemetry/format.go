package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

// timeFormat is the format of the time of a line.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// lineFormatter formats an entry as logrus.JSONFormatter does, with its keys in order. The types that most
// fields have are written without reflection: a leader writes two lines for each task.
type lineFormatter struct{}

// line is a line that is being written.
type line struct {
	*bytes.Buffer
	keys    []string
	scratch []byte
}

var lines = sync.Pool{New: func() any { return &line{} }}

// Keys that each line has. A field of that name is written with a prefix.
const (
	keyLevel, keyMessage, keyTime = "level", "msg", "time"
	clashPrefix                   = "fields."
)

// Format implements logrus.Formatter.
func (lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	l := lines.Get().(*line)
	defer lines.Put(l)
	if l.Buffer = e.Buffer; l.Buffer == nil { // the logger's own, which it uses again
		l.Buffer = &bytes.Buffer{}
	}
	l.keys = append(l.keys[:0], keyLevel, keyMessage, keyTime)
	for k := range e.Data {
		switch k {
		case keyLevel, keyMessage, keyTime:
			k = clashPrefix + k
		}
		l.keys = append(l.keys, k)
	}
	slices.Sort(l.keys)
	for i, k := range l.keys {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		l.WriteByte(separator)
		l.text(k)
		l.WriteByte(':')
		if err := l.field(e, k); err != nil {
			return nil, fmt.Errorf("format the field %s of a log line: %w", k, err)
		}
	}
	l.WriteString("}\n")
	return l.Bytes(), nil
}

// field writes the value of a key.
func (l *line) field(e *logrus.Entry, key string) error {
	switch key {
	case keyLevel:
		l.text(e.Level.String())
		return nil
	case keyMessage:
		l.text(e.Message)
		return nil
	case keyTime:
		l.scratch = e.Time.AppendFormat(l.scratch[:0], `"`+timeFormat+`"`)
		l.Write(l.scratch)
		return nil
	}
	v, ok := e.Data[key]
	if !ok {
		v = e.Data[key[len(clashPrefix):]]
	}
	return l.value(v)
}

// value writes a value.
func (l *line) value(v any) error {
	switch v := v.(type) {
	case string:
		l.text(v)
	case bool:
		l.scratch = strconv.AppendBool(l.scratch[:0], v)
		l.Write(l.scratch)
	case int:
		l.integer(int64(v))
	case int64:
		l.integer(v)
	case uint64:
		l.scratch = strconv.AppendUint(l.scratch[:0], v, 10)
		l.Write(l.scratch)
	case error:
		l.text(v.Error())
	default:
		return l.other(v)
	}
	return nil
}

func (l *line) integer(v int64) {
	l.scratch = strconv.AppendInt(l.scratch[:0], v, 10)
	l.Write(l.scratch)
}

// other writes a value of a type that few fields have.
func (l *line) other(v any) error {
	if f, ok := v.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
		l.text(fmt.Sprint(f))
		return nil
	}
	data, err := json.Marshal(v)
	l.Write(data)
	return err
}

// text writes a string. Those with characters that JSON escapes are left to the library.
func (l *line) text(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' || c >= utf8.RuneSelf {
			data, _ := json.Marshal(s) // a string has an encoding
			l.Write(data)
			return
		}
	}
	l.WriteByte('"')
	l.WriteString(s)
	l.WriteByte('"')
}
