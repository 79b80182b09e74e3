package control

// Entry is a record together with its control sequence.
type Entry struct {
	Sequence uint64 `json:"sequence"`
	Record   Record `json:"record"`
}
