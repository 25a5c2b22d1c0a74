package inquiry

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/relay"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// newerFields are those that were added to the messages of an inquiry after its first
// version, by type.
var newerFields = map[reflect.Type][]string{
	reflect.TypeFor[relay.Status]():           {"Version", "Informed", "Zones"},
	reflect.TypeFor[backpressure.Statement](): {"Brittle"},
	reflect.TypeFor[suspicion.Case]():         {"Kind", "Proven"},
}

// future is a field that this version does not know.
type future struct{ Names map[string]int }

// typeOf returns the type of a message in another version: an earlier one lacks
// newerFields, a later one has a field more in each struct.
func typeOf(ty reflect.Type, isLater bool) reflect.Type {
	switch ty.Kind() {
	case reflect.Slice:
		return reflect.SliceOf(typeOf(ty.Elem(), isLater))
	case reflect.Struct:
	default:
		return ty
	}
	var fields []reflect.StructField
	for ix := range ty.NumField() {
		fi := ty.Field(ix)
		if isLater || !slices.Contains(newerFields[ty], fi.Name) {
			fields = append(fields, reflect.StructField{Name: fi.Name, Type: typeOf(fi.Type, isLater)})
		}
	}
	if isLater {
		fields = append(fields, reflect.StructField{Name: "Future", Type: reflect.TypeFor[future]()})
	}
	return reflect.StructOf(fields)
}

// convert copies the fields that two versions of a message share, and sets future fields.
func convert(to, from reflect.Value) {
	switch {
	case to.Kind() == reflect.Slice && to.Type() != from.Type():
		to.Set(reflect.MakeSlice(to.Type(), from.Len(), from.Len()))
		for ix := range from.Len() {
			convert(to.Index(ix), from.Index(ix))
		}
	case to.Kind() == reflect.Struct && to.Type() != from.Type():
		for ix := range to.NumField() {
			name := to.Type().Field(ix).Name
			if name == "Future" {
				to.Field(ix).Set(reflect.ValueOf(future{map[string]int{"a": 1}}))
			} else if fi := from.FieldByName(name); fi.IsValid() {
				convert(to.Field(ix), fi)
			}
		}
	default:
		to.Set(from)
	}
}

// pass sends a message and returns it as a type reads it.
func pass(t *testing.T, message reflect.Value, as reflect.Type) reflect.Value {
	t.Helper()
	var buffer bytes.Buffer
	got := reflect.New(as)
	g := NewWithT(t)
	g.Expect(gob.NewEncoder(&buffer).EncodeValue(message)).To(Succeed())
	g.Expect(gob.NewDecoder(&buffer).DecodeValue(got)).To(Succeed())
	return got.Elem()
}

// Guards against a new process that learns nothing from instances of another build, or they
// from it: fields that one of them lacks are left out, all others are read.
func TestMessagesOfOtherBuilds(t *testing.T) {
	crash := suspicion.Loss{Endpoint: "e1", Boot: "b"}
	for _, message := range []any{
		relay.Status{Direct: true, Hops: 2, Reader: "i2", ConfigurationAge: time.Second, EndpointsAge: time.Minute, Version: 8, Informed: true, Zones: []string{"a"}},
		relay.None{},
		relay.Text{Version: 7, Source: []byte("source")},
		backpressure.Query{Reserved: true},
		backpressure.Reply{Statements: []backpressure.Statement{{Endpoint: "e1", Started: 5, Limit: backpressure.Limit{Rate: 2, Named: true}, Leaving: true, Brittle: true, Age: time.Second}}},
		suspicion.Query{Reserved: true},
		suspicion.Reply{Cases: []suspicion.Case{{Fingerprint: 7, Kind: suspicion.KindPart, Losses: []suspicion.AgedLoss{{Endpoint: "e1", Boot: "b", Age: time.Second}}, Cleared: []suspicion.Loss{crash}, Proven: true}}},
	} {
		present := reflect.ValueOf(message)
		t.Run(present.Type().String(), func(t *testing.T) {
			for _, isLater := range []bool{false, true} {
				g := NewWithT(t)
				other := reflect.New(typeOf(present.Type(), isLater)).Elem()
				convert(other, present)
				known := reflect.New(present.Type()).Elem()
				convert(known, other)
				g.Expect(pass(t, other, present.Type()).Interface()).To(Equal(known.Interface()), "received, later: %v", isLater)
				g.Expect(isLater).To(Or(BeFalse(), Equal(reflect.DeepEqual(known.Interface(), message))))
				sent := reflect.New(present.Type()).Elem()
				convert(sent, pass(t, present, other.Type()))
				g.Expect(sent.Interface()).To(Equal(known.Interface()), "sent, later: %v", isLater)
			}
		})
	}
}
