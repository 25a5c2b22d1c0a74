package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Shaped is implemented by types whose JSON is checked against the fields of
// another type, which Shape returns.
type Shaped interface {
	Shape() reflect.Type
}

// Decoder decodes a file. The fields are used in the messages of faults only.
// Set them before Decode.
type Decoder struct {
	// File is the name of the file.
	File string
	// Root is the field name reported for the whole document, for example
	// "settings".
	Root string
	// Noun is the word for a field with its article, for example "a setting".
	Noun string
}

// Decode checks data against the type of into, which must be a pointer to a
// struct, and decodes it. An error is of type Faults. Fields that are absent
// from data keep their values.
func (de Decoder) Decode(data []byte, into any) (*Source, error) {
	so := &Source{file: de.File, lines: make(map[string]int)}
	root, err := hujson.Parse(data)
	if err != nil {
		so.add("syntax", syntaxLine(err), err.Error())
		return so, so.Err()
	}
	wa := &walker{Decoder: de, Source: so, data: data}
	wa.walk(root, reflect.TypeOf(into).Elem(), "")
	if err := so.Err(); err != nil {
		return so, err
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), into); err != nil {
		so.add("json", 1, err.Error())
	}
	return so, so.Err()
}

func syntaxLine(err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1
	}
	return line
}

// walker traverses a document together with the type that it is decoded into.
type walker struct {
	Decoder
	*Source
	data []byte
}

func (wa *walker) line(offset int) int {
	return 1 + bytes.Count(wa.data[:min(offset, len(wa.data))], []byte("\n"))
}

func (wa *walker) walk(va hujson.Value, ty reflect.Type, path string) {
	ty = shape(ty)
	line := wa.line(va.StartOffset)
	switch in := va.Value.(type) {
	case *hujson.Object:
		if ty.Kind() != reflect.Struct {
			wa.add(wa.pathOrRoot(path), line, "must be "+expectedValue(ty))
			return
		}
		wa.walkObject(in, ty, path)
	case *hujson.Array:
		if ty.Kind() != reflect.Slice {
			wa.add(wa.pathOrRoot(path), line, "must be "+expectedValue(ty))
			return
		}
		wa.walkArray(in, ty, path)
	default:
		wa.walkLiteral(va, ty, path)
	}
}

// shape resolves pointers and Shaped types to the type that the document is
// checked against.
func shape(ty reflect.Type) reflect.Type {
	for ty.Kind() == reflect.Pointer {
		ty = ty.Elem()
	}
	if sh, isShaped := reflect.New(ty).Interface().(Shaped); isShaped {
		return shape(sh.Shape())
	}
	return ty
}

func (wa *walker) walkArray(ar *hujson.Array, ty reflect.Type, path string) {
	for ix, el := range ar.Elements {
		full := fmt.Sprintf("%s[%d]", path, ix)
		wa.lines[full] = wa.line(el.StartOffset)
		wa.walk(el, ty.Elem(), full)
	}
}

func (wa *walker) walkLiteral(va hujson.Value, ty reflect.Type, path string) {
	line := wa.line(va.StartOffset)
	if ty.Kind() == reflect.Struct || ty.Kind() == reflect.Slice {
		wa.add(wa.pathOrRoot(path), line, "must be "+expectedValue(ty))
		return
	}
	literal := va.Clone()
	literal.Standardize()
	if err := json.Unmarshal(literal.Pack(), reflect.New(ty).Interface()); err != nil {
		wa.add(path, line, "must be "+expectedValue(ty))
	}
}

func (wa *walker) walkObject(ob *hujson.Object, ty reflect.Type, path string) {
	fields := fieldsOf(ty)
	for _, me := range ob.Members {
		name := literalString(me.Name)
		full := strings.TrimPrefix(path+"."+name, ".")
		line := wa.line(me.Name.StartOffset)
		field, known := fields[name]
		if !known {
			wa.add(full, line, "is not "+wa.Noun+"; allowed are "+strings.Join(sortedNames(fields), ", "))
			continue
		}
		if _, duplicate := wa.lines[full]; duplicate {
			wa.add(full, line, "is set twice; keep one")
			continue
		}
		wa.lines[full] = line
		wa.walk(me.Value, field, full)
	}
}

func (wa *walker) pathOrRoot(path string) string {
	if path == "" {
		return wa.Root
	}
	return path
}

func literalString(va hujson.Value) string {
	li, isLiteral := va.Value.(hujson.Literal)
	if !isLiteral {
		return ""
	}
	return li.String()
}

func fieldsOf(ty reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, ty.NumField())
	for ix := range ty.NumField() {
		field := ty.Field(ix)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func expectedValue(ty reflect.Type) string {
	if reflect.PointerTo(ty).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return `a duration like "1m30s"`
	}
	switch ty.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a string"
	}
}
