package ptfront

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosetiller/primrosetiller/ptentry"
	"github.com/primrosetiller/primrosetiller/ptid"
	"github.com/primrosetiller/primrosetiller/ptjob"
	"github.com/primrosetiller/primrosetiller/ptreason"
)

const contentTypeJSON = "application/json"

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
	Profile    string     `json:"profile"`
	Submission string     `json:"submission"`
	Deadline   *time.Time `json:"deadline"`
	Tasks      []taskBody `json:"tasks"`
}

type taskBody struct {
	Payload json.RawMessage `json:"payload"`
}

// parseJob decodes the body of a job submission. problem describes why the body is invalid; it is
// empty for a valid body.
func parseJob(body []byte) (submission *ptentry.Submission, problem string) {
	var parsed jobBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return nil, "the body is not a job: " + err.Error()
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, "the body goes on after the job"
	}
	if parsed.Profile == "" {
		return nil, "profile: missing"
	}
	submission = &ptentry.Submission{
		Profile: ptid.ProfileName(parsed.Profile), Key: ptid.SubmissionKey(parsed.Submission),
		Tasks: make([]ptjob.Payload, len(parsed.Tasks)),
	}
	if parsed.Deadline != nil {
		submission.Deadline = *parsed.Deadline
	}
	for i, task := range parsed.Tasks {
		if task.Payload == nil {
			return nil, fmt.Sprintf("tasks[%d].payload: missing", i)
		}
		submission.Tasks[i] = ptjob.Payload{ContentType: contentTypeJSON, Data: task.Payload}
	}
	return submission, ""
}

// jobResponse is the body of every response except the response with the answers of a complete
// job. [completeBody] builds that response without a JSON encoder, because answers are the bulk of
// the traffic.
type jobResponse struct {
	Job     ptid.JobID      `json:"job,omitempty"`
	State   string          `json:"state,omitempty"`
	Outcome string          `json:"outcome,omitempty"`
	Reason  ptreason.Reason `json:"reason,omitempty"`
	Message string          `json:"message,omitempty"`
	Tasks   []taskResponse  `json:"tasks,omitempty"`
	// AnswersExpired is true if the job was complete and its answers are no longer retained.
	AnswersExpired bool `json:"answersExpired,omitempty"`
}

type taskResponse struct {
	State  string          `json:"state"`
	Reason ptreason.Reason `json:"reason,omitempty"`
}

func refusalBody(refusal *ptentry.RefusalError) jobResponse {
	return jobResponse{Outcome: string(ptjob.ResultNotRun), Reason: refusal.Reason, Message: refusal.Message}
}

func unknownJobResponse(id ptid.JobID) jobResponse {
	description, _ := ptreason.Lookup(ptreason.UnknownJob)
	return jobResponse{Job: id, Reason: ptreason.UnknownJob, Message: description.Text}
}

func openJobResponse(id ptid.JobID) jobResponse { return jobResponse{Job: id, State: "running"} }

func expiredJobResponse(id ptid.JobID) jobResponse {
	return jobResponse{Job: id, Outcome: string(ptjob.ResultComplete), AnswersExpired: true}
}

func writeJSON(request *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetStatusCode(status)
	request.SetContentType(contentTypeJSON)
	request.SetBody(append(encoded, '\n'))
}

// writeJob writes the outcome of a job.
func writeJob(request *fasthttp.RequestCtx, job ptid.JobID, outcome ptjob.Outcome) {
	request.Response.Header.Set(HeaderOutcome, string(outcome.Result))
	request.Response.Header.Set(HeaderJob, string(job))
	if outcome.Result == ptjob.ResultComplete {
		request.SetContentType(contentTypeJSON)
		request.Response.SetBodyRaw(completeBody(job, outcome.Answers))
		return
	}
	response := jobResponse{Job: job, Outcome: string(outcome.Result), Reason: outcome.Reason}
	for _, task := range outcome.Tasks {
		response.Tasks = append(response.Tasks, taskResponse{State: task.State.String(), Reason: task.Reason})
	}
	description, _ := ptreason.Lookup(outcome.Reason)
	response.Message = description.Title
	writeJSON(request, failedStatus(request, outcome), response)
}

// failedStatus returns the HTTP status of a job that is not complete.
func failedStatus(request *fasthttp.RequestCtx, outcome ptjob.Outcome) int {
	switch {
	case outcome.Result == ptjob.ResultNotRun:
		setRetryAfter(request, 0)
		return fasthttp.StatusServiceUnavailable
	case outcome.Reason == ptreason.JobDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// completeBody returns the body with the answers of a complete job, in the order of the tasks.
func completeBody(job ptid.JobID, answers []ptjob.Answer) (body []byte) {
	size := len(job) + 64
	for _, answer := range answers {
		size += len(answer.Body) + 1
	}
	body = make([]byte, 0, size)
	body = append(body, `{"job":"`...)
	body = append(body, job...)
	body = append(body, `","outcome":"complete","answers":[`...)
	for i, answer := range answers {
		if i > 0 {
			body = append(body, ',')
		}
		body = appendAnswer(body, answer)
	}
	return append(body, "]}\n"...)
}

// appendAnswer appends a JSON answer unchanged, and any other answer as a JSON string.
func appendAnswer(body []byte, answer ptjob.Answer) []byte {
	if strings.HasPrefix(answer.ContentType, contentTypeJSON) && json.Valid(answer.Body) {
		return append(body, answer.Body...)
	}
	text, err := json.Marshal(string(answer.Body))
	if err != nil {
		return append(body, "null"...)
	}
	return append(body, text...)
}

// writeSingleAnswer writes the unchanged answer of a complete job with one task, and the outcome
// of any other job.
func writeSingleAnswer(request *fasthttp.RequestCtx, job ptid.JobID, outcome ptjob.Outcome) {
	if outcome.Result != ptjob.ResultComplete || len(outcome.Answers) != 1 {
		writeJob(request, job, outcome)
		return
	}
	request.Response.Header.Set(HeaderOutcome, string(outcome.Result))
	request.Response.Header.Set(HeaderJob, string(job))
	request.SetContentType(outcome.Answers[0].ContentType)
	request.Response.SetBodyRaw(outcome.Answers[0].Body)
}
