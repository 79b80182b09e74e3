package adminapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// dataCentreOut takes a data centre out of service.
func (s *server) dataCentreOut(r *http.Request, actor string) (any, error) {
	req, name, err := readDataCentreRequest(r)
	if err != nil {
		return nil, err
	}
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.DataCentreOut != nil && rec.DataCentreOut.DataCentre == name }
	cmd.plan = func(_ context.Context, v *control.View) (control.Record, error) {
		if err := checkOut(v, name); err != nil {
			return control.Record{}, err
		}
		return control.Record{DataCentreOut: &control.DataCentreOut{DataCentre: name, Reason: req.Reason}}, nil
	}
	return s.run(r.Context(), cmd)
}

// dataCentreIn returns a data centre to service.
func (s *server) dataCentreIn(r *http.Request, actor string) (any, error) {
	req, name, err := readDataCentreRequest(r)
	if err != nil {
		return nil, err
	}
	cmd := command{Command: req.Command, actor: actor}
	cmd.matches = func(rec control.Record) bool { return rec.DataCentreIn != nil && rec.DataCentreIn.DataCentre == name }
	cmd.plan = func(_ context.Context, v *control.View) (control.Record, error) {
		if err := checkIn(v, name); err != nil {
			return control.Record{}, err
		}
		return control.Record{DataCentreIn: &control.DataCentreIn{DataCentre: name}}, nil
	}
	return s.run(r.Context(), cmd)
}

func readDataCentreRequest(r *http.Request) (DataCentreRequest, model.DataCentre, error) {
	var req DataCentreRequest
	if err := readJSON(r, &req); err != nil {
		return req, "", err
	}
	return req, model.DataCentre(r.PathValue("name")), checkNote(req.Reason)
}

// checkOut checks that name is in service and is not the last one.
func checkOut(v *control.View, name model.DataCentre) error {
	if err := checkListed(v, name); err != nil {
		return err
	}
	if v.IsOut(name) {
		return model.Errorf(model.KindConflict, "nothing to do; vpier status --wait shows when no work is left there",
			"data centre %s is already out of service since sequence %d", name, v.Out[name])
	}
	for _, dc := range v.Declaration.DataCentres {
		if dc.Name != name && !v.IsOut(dc.Name) {
			return nil
		}
	}
	return model.Errorf(model.KindInvalid, "return another data centre first",
		"%s is the last data centre in service; without it no work could start", name)
}

// checkIn checks that name is out of service.
func checkIn(v *control.View, name model.DataCentre) error {
	if v.IsOut(name) {
		return nil
	}
	if err := checkListed(v, name); err != nil {
		return err
	}
	return model.Errorf(model.KindConflict, "nothing to do", "data centre %s is in service", name)
}

// checkListed checks that the accepted declaration has the data centre.
func checkListed(v *control.View, name model.DataCentre) error {
	if v.Declaration == nil {
		return model.Errorf(model.KindConflict, "propose and accept a declaration first", "no declaration is in force")
	}
	names := make([]string, len(v.Declaration.DataCentres))
	for i, dc := range v.Declaration.DataCentres {
		if dc.Name == name {
			return nil
		}
		names[i] = string(dc.Name)
	}
	return model.Errorf(model.KindNotFound, "use one of "+strings.Join(names, ", "), "there is no data centre %q", name)
}
