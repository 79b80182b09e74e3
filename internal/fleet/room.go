package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// roomAge is how old the news of another cell may be.
	roomAge = 2500 * time.Millisecond
	// typicalShare is the share of its worker that a filler usually demands.
	typicalShare = 0.1
	// grantMemory is how long after news of a cell was seen the jobs sent there are
	// counted on top: they may have been on their way.
	grantMemory = 700 * time.Millisecond
)

// room is what a cell tells of its load, in thousandths of a core.
type room struct {
	// Capacity is that of the workers that take new runs.
	Capacity int64 `cbor:"1,keyasint"`
	// Reserved is what runs reserve and what waiting tasks want to.
	Reserved int64 `cbor:"2,keyasint"`
	// Spare is what is left over for fillers, less what waits for it; may be negative.
	Spare int64 `cbor:"3,keyasint"`
	// Light is the part of what is left over, by image of a filler, that lies beside
	// services on which the image hardly presses; less what waits of that image.
	Light map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Holes is the room on the workers with most of it, the largest first.
	Holes []hole `cbor:"6,keyasint,omitempty"`
	// Stuck is a lasting task of the cell that finds room in none; nil for none.
	Stuck *stuckTask `cbor:"7,keyasint,omitempty"`
}

// fill is the reserved share of the capacity.
func (r room) fill() float64 { return float64(r.Reserved) / float64(max(r.Capacity, 1)) }

// spare is the share of the capacity that is left for fillers.
func (r room) spare() float64 { return float64(r.Spare) / float64(max(r.Capacity, 1)) }

// light is the share of the capacity on which fillers of an image hardly press.
func (r room) light(image string) float64 {
	return float64(r.Light[image]) / float64(max(r.Capacity, 1))
}

// add counts a job with demand d. It leaves the receiver's map as it is.
func (r room) add(d demand) room {
	if d.filler {
		r.Spare -= d.milliCPU
		if l, known := r.Light[d.image]; known {
			r.Light = maps.Clone(r.Light)
			r.Light[d.image] = l - d.milliCPU
		}
	} else {
		r.Reserved += d.milliCPU
		r.Spare -= d.milliCPU / 2
	}
	return r
}

// cellRoom is the room of another cell and when this node heard of it.
type cellRoom struct {
	cell int
	room room
	at   time.Time
}

// grant is a job sent to another cell.
type grant struct {
	cell   int
	demand demand
	at     time.Time
}

// ownRoom adds up the cell's workers and the work that waits.
func (t *term) ownRoom(wants []*want) room {
	r := room{Light: map[string]int64{}}
	for image := range t.harm.fillers {
		r.Light[image] = 0
	}
	for _, w := range t.workers {
		if t.unusable(w) != "" {
			continue
		}
		r.Capacity += w.info.Capacity.MilliCPU
		r.Reserved += w.used.MilliCPU
		left := w.leftover()
		r.Spare += left
		if left > 0 {
			t.addLight(r.Light, w, left)
		}
	}
	for _, milliCPU := range t.unseenServices() {
		r.Reserved += milliCPU
	}
	for _, w := range wants {
		need := int64(len(w.tasks)) * w.step.Needs.MilliCPU
		if !w.step.Filler {
			r.Reserved += need
			continue
		}
		r.Spare -= need
		if _, known := r.Light[w.step.Image]; known {
			r.Light[w.step.Image] -= need
		}
	}
	return r
}

// addLight adds what is left over on a worker to the images that hardly press on its
// services.
func (t *term) addLight(light map[string]int64, w *worker, left int64) {
	v := t.harm.viewFor(w, t.now)
	if !v.disturbed.IsZero() {
		return
	}
	for image := range light {
		slight := true
		for _, s := range v.images {
			slight = slight && s.model.cautious(image, t.now)*typicalShare <= lightShare*s.model.highest
		}
		if slight {
			light[image] += left
		}
	}
}

// otherRooms returns the rooms of other cells that are known, with the jobs that were
// sent there meanwhile.
func (t *term) otherRooms() []cellRoom {
	if t.rooms == nil {
		return nil
	}
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool { return t.now.Sub(g.at) > roomAge+grantMemory })
	var others []cellRoom
	for _, o := range t.rooms() {
		if o.cell == t.cell || t.now.Sub(o.at) > roomAge || o.room.Capacity == 0 {
			continue
		}
		for _, g := range t.grants {
			if g.cell == o.cell && g.at.After(o.at.Add(-grantMemory)) {
				o.room = o.room.add(g.demand)
			}
		}
		others = append(others, o)
	}
	return others
}
