package timeline

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"
)

// FieldType is the type of a field's value.
type FieldType uint8

// The types of values.
const (
	TypeString FieldType = iota
	TypeInt
	TypeFloat
	TypeBool
	TypeDuration
)

var typeNames = [...]string{"string", "int", "float", "bool", "duration"}

// String returns the name of the type.
func (t FieldType) String() string {
	if int(t) < len(typeNames) {
		return typeNames[t]
	}
	return "invalid"
}

// Field is a key with a typed value.
type Field struct {
	Key  string    `cbor:"1,keyasint"`
	Type FieldType `cbor:"2,keyasint,omitempty"`
	// Text is the value if Type is TypeString.
	Text string `cbor:"3,keyasint,omitempty"`
	// Number is the value of the other types: an integer, a bool (0 or 1), a duration in nanoseconds, or the IEEE 754 bits of
	// a float64.
	Number int64 `cbor:"4,keyasint,omitempty"`
}

// String returns a field with a string.
func String(key, value string) Field { return Field{Key: key, Type: TypeString, Text: value} }

// Int returns a field with an integer.
func Int(key string, value int64) Field { return Field{Key: key, Type: TypeInt, Number: value} }

// Float returns a field with a floating point number.
func Float(key string, value float64) Field {
	return Field{Key: key, Type: TypeFloat, Number: int64(math.Float64bits(value))}
}

// Bool returns a field with a boolean.
func Bool(key string, value bool) Field {
	field := Field{Key: key, Type: TypeBool}
	if value {
		field.Number = 1
	}
	return field
}

// Duration returns a field with a duration.
func Duration(key string, value time.Duration) Field {
	return Field{Key: key, Type: TypeDuration, Number: int64(value)}
}

// Value returns the value as text.
func (f Field) Value() string {
	switch f.Type {
	case TypeString:
		return f.Text
	case TypeInt:
		return strconv.FormatInt(f.Number, 10)
	case TypeFloat:
		return strconv.FormatFloat(math.Float64frombits(uint64(f.Number)), 'g', -1, 64)
	case TypeBool:
		return strconv.FormatBool(f.Number != 0)
	case TypeDuration:
		return time.Duration(f.Number).String()
	}
	return ""
}

// fieldBody is the JSON form of a field. Values are strings, since JSON numbers would lose digits of large integers.
type fieldBody struct {
	Key   string `json:"key"`
	Type  string `json:"type"`
	Value string `json:"value"`
}

// MarshalJSON encodes key, type and value.
func (f Field) MarshalJSON() ([]byte, error) {
	return json.Marshal(fieldBody{Key: f.Key, Type: f.Type.String(), Value: f.Value()})
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (f *Field) UnmarshalJSON(data []byte) error {
	var body fieldBody
	if err := json.Unmarshal(data, &body); err != nil {
		return err
	}
	field, err := body.field()
	if err != nil {
		return fmt.Errorf("field %q: %w", body.Key, err)
	}
	*f = field
	return nil
}

func (b fieldBody) field() (Field, error) {
	switch b.Type {
	case "string":
		return String(b.Key, b.Value), nil
	case "int":
		value, err := strconv.ParseInt(b.Value, 10, 64)
		return Int(b.Key, value), err
	case "float":
		value, err := strconv.ParseFloat(b.Value, 64)
		return Float(b.Key, value), err
	case "bool":
		value, err := strconv.ParseBool(b.Value)
		return Bool(b.Key, value), err
	case "duration":
		value, err := time.ParseDuration(b.Value)
		return Duration(b.Key, value), err
	}
	return Field{}, fmt.Errorf("unknown type %q", b.Type)
}
