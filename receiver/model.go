package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"lovagebank/configurer"
	"lovagebank/requester"
)

// modelHandler returns the handler for chat or text completions.
func (rc *Receiver) modelHandler(kind requester.Kind) http.HandlerFunc {
	return func(rw http.ResponseWriter, hr *http.Request) {
		rq, err := rc.readModelRequest(rw, hr, kind)
		if err != nil {
			writeRefusal(rw, requester.AsRefusal(err))
			return
		}
		rc.run(rw, hr, rq)
	}
}

// readModelRequest reads and checks a model request. The order of the checks discloses as little as possible to an
// unauthorised caller: key, syntax, adapter, plan.
func (rc *Receiver) readModelRequest(rw http.ResponseWriter, hr *http.Request, kind requester.Kind) (*requester.Request, error) {
	sn, err := rc.snapshot()
	if err != nil {
		return nil, err
	}
	organisation, err := rc.options.Authenticate(hr.Header)
	if err != nil {
		return nil, err
	}
	body, err := rc.readBody(rw, hr)
	if err != nil {
		return nil, err
	}
	mr, err := parseModelRequest(body, kind, rc.options.Limits)
	if err != nil {
		return nil, err
	}
	ad, pl, err := findAdapter(sn, organisation, &mr)
	if err != nil {
		return nil, err
	}
	return rc.newModelRequest(hr, kind, organisation, &mr, ad, pl)
}

// findAdapter returns the adapter and the organisation's plan, and sets the adapter's current version if the request
// names none. An adapter of another organisation gets the same refusal as one that does not exist.
func findAdapter(sn *configurer.Snapshot, organisation string, mr *modelRequest) (configurer.Adapter, configurer.Plan, error) {
	notFound := requester.Refuse(requester.CodeNotFound, "There is no such model.", 0)
	pl, ok := sn.PlanOf(organisation)
	if !ok {
		return configurer.Adapter{}, pl, notFound
	}
	ad, ok := sn.Adapter(mr.adapter)
	if !ok || (ad.Organisation() != "" && ad.Organisation() != organisation) {
		return ad, pl, notFound
	}
	if !sn.PlanIncludes(pl.Name(), ad.Name()) {
		return ad, pl, requester.Refuse(requester.CodeNotInPlan, "The plan does not include this model.", 0)
	}
	if mr.version == "" {
		mr.version = ad.Current()
	}
	if !slices.Contains(ad.Versions(), mr.version) {
		return ad, pl, requester.Refuse(requester.CodeNotFound, "The model has no such version.", 0)
	}
	return ad, pl, nil
}

func (rc *Receiver) newModelRequest(hr *http.Request, kind requester.Kind, organisation string, mr *modelRequest,
	ad configurer.Adapter, pl configurer.Plan,
) (*requester.Request, error) {
	deadline, err := readDeadline(hr.Header, pl.Deadline(), time.Now())
	if err != nil {
		return nil, err
	}
	idempotencyKey, err := readIdempotencyKey(hr.Header)
	if err != nil {
		return nil, err
	}
	model := ad.Name() + "@" + mr.version
	body, err := mr.encode(model)
	if err != nil {
		return nil, err
	}
	return requester.New(requester.Fields{
		ID:             requestID(hr.Context()),
		Organisation:   organisation,
		Kind:           kind,
		Adapter:        ad.Name(),
		Version:        mr.version,
		Base:           ad.Base(),
		Method:         http.MethodPost,
		Path:           hr.URL.Path,
		Header:         targetHeader(hr.Header),
		Body:           body,
		Stream:         mr.stream,
		PromptTokens:   mr.promptTokens,
		MaxTokens:      mr.maxTokens,
		Urgency:        pl.Urgency(),
		Deadline:       deadline,
		Weight:         pl.Weight(),
		Repeatable:     true,
		IdempotencyKey: idempotencyKey,
		Fingerprint:    fingerprint(organisation, hr.URL.Path, body),
	}), nil
}

// fingerprint returns a hash of a request that is the same when the request is sent again.
func fingerprint(organisation, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(path), body} {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// modelList is the model list format of the OpenAI API, which its client libraries parse.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the adapters that the organisation's plan includes.
func (rc *Receiver) serveModels(rw http.ResponseWriter, hr *http.Request) {
	sn, err := rc.snapshot()
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	organisation, err := rc.options.Authenticate(hr.Header)
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, ad := range sn.Adapters(organisation) {
		list.Data = append(list.Data, modelEntry{ID: ad.Name(), Object: "model", OwnedBy: ad.Organisation()})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list)
}
