package kind

// Half is one of the two organisations that the deployment is split into. An
// object that belongs to a half is available to callers of that half and to
// callers that belong to no half.
type Half struct {
	Name string `json:"name"`
}

// Validate checks the fields of the half.
func (ha Half) Validate() error { return checkName("half", ha.Name) }

// UnmarshalJSON decodes and validates a half.
func (ha *Half) UnmarshalJSON(data []byte) error {
	next, err := Half{}.WithFields(data)
	*ha = next
	return err
}

// WithFields returns a validated copy in which the fields of a JSON object
// replace those of the half. Fields that the JSON lacks keep their values.
func (ha Half) WithFields(data []byte) (Half, error) {
	type plain Half
	pl := plain(ha)
	if err := decode("half", data, &pl); err != nil {
		return Half{}, err
	}
	next := Half(pl)
	return next, next.Validate()
}
