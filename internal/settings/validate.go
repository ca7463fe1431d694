package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Validate checks a struct against its validate tags. The flag tag of a field
// holds the name of its flag.
func Validate(options any) error {
	if problems := findProblems(options); len(problems) > 0 {
		return &Error{problems}
	}
	return nil
}

func findProblems(options any) []Problem {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("flag") })
	err := v.Struct(options)
	var fields validator.ValidationErrors
	if err == nil || !errors.As(err, &fields) {
		return nil
	}
	problems := make([]Problem, 0, len(fields))
	for _, f := range fields {
		problems = append(problems, Problem{f.Field(), fmt.Sprint(f.Value()), requirement(f.Tag(), f.Param())})
	}
	return problems
}

// requirementTexts maps a validate tag to its error text; %s is the tag's parameter.
var requirementTexts = map[string]string{
	"required":      "must be set",
	"url":           "must be a URL such as http://10.0.0.1:7000",
	"http_url":      "must be a URL such as http://10.0.0.1:7000",
	"hostname_port": "must be HOST:PORT, such as 10.0.0.1:7000",
	"ip":            "must be an IP address",
	"min":           "must be at least %s",
	"gte":           "must be at least %s",
	"gt":            "must be above %s",
	"max":           "must be at most %s",
	"lte":           "must be at most %s",
	"lt":            "must be below %s",
	"datetime":      "must be a time such as %s",
	"unique":        "must not hold a value twice",
	"ltfield":       "must be below %s",
	"gtfield":       "must be above %s",
}

func requirement(tag, param string) string {
	if tag == "oneof" {
		return "must be one of " + strings.Join(strings.Fields(param), ", ")
	}
	s, ok := requirementTexts[tag]
	switch {
	case !ok:
		return strings.TrimSpace("must be " + tag + " " + param)
	case strings.Contains(s, "%s"):
		return fmt.Sprintf(s, param)
	}
	return s
}
