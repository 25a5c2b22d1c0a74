package kind

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// The states of an availability zone.
const (
	// ZoneServing takes new work.
	ZoneServing ZoneState = "serving"
	// ZoneOut takes no new work. Running work is completed.
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Half is the name of the half that the zone belongs to. It may be empty.
	Half  string    `json:"half,omitempty"`
	State ZoneState `json:"state"`
}

// Serving reports whether the state of the zone allows new work.
func (zo Zone) Serving() bool { return zo.State == ZoneServing }

// WithState returns a copy of the zone in state st.
func (zo Zone) WithState(st ZoneState) Zone {
	zo.State = st
	return zo
}

// WithHalf returns a copy of the zone assigned to the half.
func (zo Zone) WithHalf(half string) Zone {
	zo.Half = half
	return zo
}

// Validate checks the fields of the zone.
func (zo Zone) Validate() error {
	if err := checkName("zone", zo.Name); err != nil {
		return err
	}
	if zo.State != ZoneServing && zo.State != ZoneOut {
		return &Error{Op: "zone", Name: zo.Name, Field: "state", Kind: Invalid, Detail: `allowed are "serving" and "out"`}
	}
	return nil
}

// UnmarshalJSON decodes and validates a zone. An absent state means ZoneServing.
func (zo *Zone) UnmarshalJSON(data []byte) error {
	next, err := DefaultZone.WithFields(data)
	*zo = next
	return err
}

// WithFields returns a validated copy in which the fields of a JSON object
// replace those of the zone. Fields that the JSON lacks keep their values.
func (zo Zone) WithFields(data []byte) (Zone, error) {
	type plain Zone
	pl := plain(zo)
	if err := decode("zone", data, &pl); err != nil {
		return Zone{}, err
	}
	next := Zone(pl)
	return next, next.Validate()
}
