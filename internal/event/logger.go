package event

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields holds the additional values of a log record.
type Fields = logrus.Fields

// Logger writes numbered events. It is safe for concurrent use.
type Logger struct {
	entry *logrus.Entry
	// queue is nil if records are written synchronously.
	queue *queue
}

// timestampFormat includes milliseconds because most decisions are made within
// milliseconds.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes to out in the format "json" or "text". Every
// record contains the instance name.
func NewLogger(out io.Writer, format, level, instance string) (*Logger, error) {
	parsedLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("invalid log level %q: %w", level, err)
	}
	base := logrus.New()
	base.SetOutput(out)
	base.SetLevel(parsedLevel)
	switch format {
	case "json":
		base.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	case "text":
		base.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	default:
		return nil, fmt.Errorf("log format %q is neither json nor text", format)
	}
	return &Logger{entry: base.WithField("instance", instance)}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	base := logrus.New()
	base.SetOutput(io.Discard)
	base.SetLevel(logrus.PanicLevel)
	return &Logger{entry: logrus.NewEntry(base)}
}

// Emit writes or queues a record of the event if its level is enabled.
func (l *Logger) Emit(e Event, fields Fields) {
	if !l.entry.Logger.IsLevelEnabled(e.level) {
		return
	}
	rec := record{event: e, fields: fields, at: time.Now()}
	if l.queue != nil {
		l.queue.enqueue(rec)
		return
	}
	l.write(rec)
}

// maxStackBytes bounds the stack in a record.
const maxStackBytes = 8 << 10

// EmitPanic emits a record of a panic with its value and stack. It adds them to the fields.
func (l *Logger) EmitPanic(e Event, value any, stack []byte, fields Fields) {
	fields["panic"], fields["stack"] = fmt.Sprint(value), string(stack[:min(len(stack), maxStackBytes)])
	l.Emit(e, fields)
}

func (l *Logger) write(rec record) {
	l.entry.WithFields(rec.fields).WithField("event", rec.event.number).WithTime(rec.at).Log(rec.event.level, rec.event.text)
}
