package length

// Key identifies a group of answers that share a length distribution. An empty
// Team or Class stands for all of them.
type Key struct {
	Service string
	Team    string
	// Class groups prompts whose answers have similar lengths.
	Class string
}

// maxCurves bounds the memory that callers can occupy by sending new classes.
const maxCurves = 4096

// Estimator holds a Curve for each Key. The zero value is ready for use.
type Estimator struct {
	curves map[Key]*Curve
}

// Curve returns the curve of the key and creates it if it does not exist. Once
// maxCurves curves exist, it creates only curves of whole services, and returns
// the nearest existing parent for other new keys.
func (es *Estimator) Curve(ke Key) *Curve {
	if cu, found := es.curves[ke]; found {
		return cu
	}
	if es.curves == nil {
		es.curves = make(map[Key]*Curve)
	}
	var parent *Curve
	switch {
	case ke.Team != "" && ke.Class != "":
		parent = es.Curve(Key{Service: ke.Service, Class: ke.Class})
	case ke.Team != "" || ke.Class != "":
		parent = es.Curve(Key{Service: ke.Service})
	}
	if parent != nil && len(es.curves) >= maxCurves {
		return parent
	}
	cu := newCurve(parent)
	es.curves[ke] = cu
	return cu
}

// Len returns the number of curves, parents included.
func (es *Estimator) Len() int { return len(es.curves) }
