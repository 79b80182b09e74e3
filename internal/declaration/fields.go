package declaration

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
)

// documentedTypes are the structs of a declaration in the order of the
// reference page.
var documentedTypes = []reflect.Type{
	reflect.TypeFor[Declaration](),
	reflect.TypeFor[DataCentre](),
	reflect.TypeFor[Service](),
	reflect.TypeFor[Team](),
	reflect.TypeFor[BatchClass](),
	reflect.TypeFor[Limits](),
	reflect.TypeFor[Capacity](),
}

// structInfo caches the YAML names of a struct's fields, so that tags are parsed once and
// not for each entry.
type structInfo struct {
	names  []string
	byName map[string]int
	// sorted lists the field indexes in the order of the names.
	sorted []int
}

var structInfos = readStructInfos()

func readStructInfos() map[reflect.Type]*structInfo {
	infos := map[reflect.Type]*structInfo{}
	for _, t := range documentedTypes {
		info := &structInfo{byName: map[string]int{}}
		for i := range t.NumField() {
			name := yamlName(t.Field(i))
			info.names = append(info.names, name)
			info.byName[name] = i
			info.sorted = append(info.sorted, i)
		}
		slices.SortFunc(info.sorted, func(a, b int) int { return cmp.Compare(info.names[a], info.names[b]) })
		infos[t] = info
	}
	return infos
}

// infoOf returns the field names of a struct. It panics when the struct is missing from
// documentedTypes, which is a programming error that any test of Parse detects.
func infoOf(t reflect.Type) *structInfo {
	info, ok := structInfos[t]
	if !ok {
		panic("declaration: " + t.Name() + " is missing from documentedTypes")
	}
	return info
}

// yamlName returns the YAML name of a field.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
